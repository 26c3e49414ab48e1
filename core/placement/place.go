package placement

// Place gives a slot at a backend server.
type Place struct {
	Ticket uint64
	// Life is the life of the backend server.
	Life string
}

func (Place) placement() {}

// Of implements [Placement].
func (p Place) Of() uint64 { return p.Ticket }

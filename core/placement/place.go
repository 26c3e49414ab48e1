package placement

// Place assigns a slot at a backend server to a request.
type Place struct {
	Ticket uint64
	// Incarnation identifies one start of the backend server.
	Incarnation string
}

func (Place) placement() {}

// RequestTicket implements [Placement].
func (p Place) RequestTicket() uint64 { return p.Ticket }

package notification

// Held lists the slots in use of one service, so that a lost report does not cost a slot for long.
type Held struct {
	Service string
	Host    uint32
	Tickets []uint64
}

func (Held) notice() {}

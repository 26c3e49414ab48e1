package notification

// HeldSlots lists the slots of one service that a host holds from the receiver. The receiver frees the host's other
// slots, because the reports of their results must have been lost. It keeps slots assigned so recently that the list may
// be older.
type HeldSlots struct {
	Service string
	// Host identifies the host. It is the upper 32 bits of each of its tickets.
	Host uint32
	// Tickets are the tickets of the requests whose slots are held.
	Tickets []uint64
}

func (HeldSlots) notification() {}

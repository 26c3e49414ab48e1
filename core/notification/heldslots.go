package notification

// HeldSlots lists the slots of one service that a host holds. The pool frees the host's other slots if they were
// assigned some time ago, because the reports of their results must have been lost.
type HeldSlots struct {
	Service string
	// Host is the upper half of the host's tickets.
	Host    uint32
	Tickets []uint64
}

func (HeldSlots) notification() {}

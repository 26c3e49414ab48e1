package notification

// HeldSlots lists the slots of one service that a host holds. The pool frees the host's other slots, of which the
// results were lost.
type HeldSlots struct {
	Service string
	Host    uint32
	Tickets []uint64
}

func (HeldSlots) notification() {}

package notification

// Cancelled withdraws a slot request.
type Cancelled struct {
	Service string
	Ticket  uint64
}

func (Cancelled) notification() {}

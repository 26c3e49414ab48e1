package notification

// Dropped says that an ask is no longer wanted.
type Dropped struct {
	Service string
	Ticket  uint64
}

func (Dropped) notice() {}

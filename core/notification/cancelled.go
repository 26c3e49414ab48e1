package notification

// Cancelled withdraws a slot request and frees the slot that was assigned to it, if any.
type Cancelled struct {
	// Service is the service of the request. If it is empty, the ticket is looked up in all services.
	Service string
	Ticket  uint64
}

func (Cancelled) notification() {}

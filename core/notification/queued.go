package notification

// Queued says that an ask waits.
type Queued struct{ Ticket uint64 }

func (Queued) notice() {}

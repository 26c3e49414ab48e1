package notification

// Queued acknowledges a slot request that waits in the queue.
type Queued struct{ Ticket uint64 }

func (Queued) notification() {}

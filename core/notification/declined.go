package notification

// Declined answers a slot request that the host can't handle, because it is shutting down or does not know the backend
// servers yet.
type Declined struct{ Ticket uint64 }

func (Declined) notification() {}

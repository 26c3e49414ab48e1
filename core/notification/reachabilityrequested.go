package notification

// ReachabilityRequested asks a host whether it can reach the store, and announces the revision of the coordinator.
type ReachabilityRequested struct{ Coordinator int64 }

func (ReachabilityRequested) notification() {}

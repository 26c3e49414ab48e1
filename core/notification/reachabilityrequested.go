package notification

// ReachabilityRequested asks a host whether it can reach the store, and announces the revision at which the coordinator
// was elected.
type ReachabilityRequested struct{ CoordinatorRevision int64 }

func (ReachabilityRequested) notification() {}

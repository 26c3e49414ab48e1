package notification

import "redwingsill/core/reachability"

// ReachabilityReported answers [ReachabilityRequested] with the host's record of when it reached the store.
type ReachabilityReported struct{ Reachability reachability.Reachability }

func (ReachabilityReported) notification() {}

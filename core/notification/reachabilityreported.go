package notification

import "redwingsill/core/reachability"

// ReachabilityReported answers [ReachabilityRequested] with the host's latest period of contact with the store.
type ReachabilityReported struct{ Reachability reachability.Reachability }

func (ReachabilityReported) notification() {}

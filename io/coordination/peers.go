package coordination

import "redwingsill/core/reachability"

// Peers exchanges notifications with the other entry hosts. [redwingsill/io/slotclient.SlotClient] implements it.
type Peers interface {
	// IsUnresponsive reports whether a host does not answer.
	IsUnresponsive(host string) bool
	// RequestReachability sends all hosts the revision of the coordinator's key and asks for their contact with the store.
	RequestReachability(coordinatorRevision int64)
	// Reachabilities returns this host's contact with the store and the recent answers of the others.
	Reachabilities() []reachability.Reachability
}

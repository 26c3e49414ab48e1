package coordination

import "redwingsill/core/reachability"

// Peers exchanges notifications with the other entry hosts. [redwingsill/io/slotclient.SlotClient] implements it.
type Peers interface {
	// IsUnresponsive reports whether a host is known and does not respond to notifications.
	IsUnresponsive(host string) bool
	// RequestReachability sends all other hosts the revision of the coordinator's key and asks for their reachability
	// records.
	RequestReachability(coordinatorRevision int64)
	// Reachabilities returns, by the names of the hosts, this host's reachability record and the ones that the others have
	// sent recently, each with the time of its arrival.
	Reachabilities() map[string]reachability.Reachability
}

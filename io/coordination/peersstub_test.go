package coordination

import "redwingsill/core/reachability"

// peersStub has the reports of other hosts, by name.
type peersStub map[string]reachability.Reachability

// IsUnresponsive implements Peers.
func (peersStub) IsUnresponsive(string) bool { return false }

// RequestReachability implements Peers.
func (peersStub) RequestReachability(int64) {}

// Reachabilities implements Peers.
func (p peersStub) Reachabilities() map[string]reachability.Reachability { return p }

package event

import "redwingsill/core/hostentry"

// HostsListed is the platform's list of live and leaving entry hosts and backend servers, which may be stale.
type HostsListed struct {
	Hosts []hostentry.HostEntry
}

func (HostsListed) event() {}

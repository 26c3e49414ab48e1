package event

import "redwingsill/core/hostentry"

// HostsListed is the platform's list of live and leaving hosts. It lags.
type HostsListed struct {
	Hosts []hostentry.HostEntry
}

func (HostsListed) event() {}

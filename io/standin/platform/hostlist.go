package platform

import (
	"time"

	"redwingsill/core/hostentry"
)

// hostList is one version of the list of hosts and the time at which it was set.
type hostList struct {
	setAt time.Time
	hosts []hostentry.HostEntry
}

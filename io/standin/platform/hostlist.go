package platform

import (
	"time"

	"redwingsill/core/hostentry"
)

// hostList is one version of the list of hosts.
type hostList struct {
	setAt time.Time
	hosts []hostentry.HostEntry
}

package platform

import (
	"time"

	"redwingsill/core/hostentry"
)

// listing is the list of hosts as it was set at a time.
type listing struct {
	at    time.Time
	hosts []hostentry.HostEntry
}

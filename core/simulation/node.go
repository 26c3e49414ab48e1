package simulation

import (
	"time"

	"redwingsill/core/event"
	"redwingsill/core/host"
)

// node is one incarnation of a host. Events addressed to it are not delivered to a later incarnation.
type node struct {
	name      string
	host      host.Host
	isAlive   bool
	isPaused  bool
	startedAt time.Time
	// clockRate is the speed of the host's clock relative to virtual time.
	clockRate float64
	// backlog holds the events that arrived while the host was paused.
	backlog []event.Event
}

// localTime returns the time that the host's clock shows at the virtual time now.
func (n *node) localTime(now time.Time) time.Time {
	return n.startedAt.Add(time.Duration(float64(now.Sub(n.startedAt)) * n.clockRate))
}

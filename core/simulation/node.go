package simulation

import (
	"time"

	"redwingsill/core/event"
	"redwingsill/core/host"
)

// node is one start of a host.
type node struct {
	name      string
	host      host.Host
	isAlive   bool
	isPaused  bool
	startedAt time.Time
	// drift is the rate of the host's clock.
	drift float64
	inbox []event.Event
}

// clock returns the host's own time.
func (n *node) clock(now time.Time) time.Time {
	return n.startedAt.Add(time.Duration(float64(now.Sub(n.startedAt)) * n.drift))
}

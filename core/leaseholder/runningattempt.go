package leaseholder

import (
	"time"

	"redwingsill/core/queueitem"
)

// runningAttempt is an attempt that runs or may still run on the backend server.
type runningAttempt struct {
	item      queueitem.QueueItem
	startedAt time.Time
	// deadline is the time by which the server must have stopped, on its own clock.
	deadline time.Time
	// isUnresolved is set when the attempt ended without a response. It occupies its slot until the deadline has passed
	// on every clock.
	isUnresolved bool
}

package leaseholder

import (
	"time"

	"redwingsill/core/queueitem"
)

// running is an attempt on the backend server.
type running struct {
	item      queueitem.QueueItem
	startedAt time.Time
	// deadline is when the server must have stopped, by its own clock.
	deadline time.Time
	// isOver says that the attempt ended without word of the server; it counts until the deadline has surely passed.
	isOver bool
}

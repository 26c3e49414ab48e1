// Package queueitem holds a request that waits at a backend server.
package queueitem

import (
	"time"

	"redwingsill/core/request"
	"redwingsill/core/unit"
)

// QueueItem is a request that waits.
type QueueItem struct {
	Ticket  uint64
	Request request.Request
	Unit    unit.Unit
	Rank    int
	Arrived time.Time
	// Turn is the round among the callers in which the item is due; lower turns go first.
	Turn int
}

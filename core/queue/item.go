package queue

import (
	"time"

	"redwingsill/core/request"
	"redwingsill/core/unit"
)

// Item is a request that waits.
type Item struct {
	Ticket  uint64
	Request request.Request
	Unit    unit.Unit
	Rank    int
	Arrived time.Time
	// level is the item's place among its caller's own; lower levels go first.
	level int
}

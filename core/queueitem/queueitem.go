// Package queueitem holds a request that waits for a backend server.
package queueitem

import (
	"time"

	"redwingsill/core/request"
	"redwingsill/core/unit"
)

// QueueItem is a waiting request with its position in the queue.
type QueueItem struct {
	Ticket  uint64
	Request request.Request
	// Unit is the part of the service that the request belongs to and that has one owner.
	Unit unit.Unit
	// RankIndex is the index of the rank in the queue; 0 is the most urgent.
	RankIndex int
	ArrivedAt time.Time
	// Turn is the round-robin turn of the caller that the item belongs to. Lower turns run first.
	Turn int
}

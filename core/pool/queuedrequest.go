package pool

import "time"

// queuedRequest tells where a request waits, and since when.
type queuedRequest struct {
	// queue is the index of the queue in the pool.
	queue int
	// queuedAt is when the request joined its first queue. It stays the same when the request changes its queue.
	queuedAt time.Time
}

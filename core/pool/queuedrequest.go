package pool

import "time"

// queuedRequest holds the queue in which a request waits, and the time since which it has been waiting.
type queuedRequest struct {
	// queue is the index of the queue in the pool.
	queue int
	// queuedAt is when the request joined its first queue. It stays the same when the request changes its queue.
	queuedAt time.Time
}

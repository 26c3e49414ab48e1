package pool

import "time"

// queuedRequest holds the queue of a waiting request and the time at which the request joined it.
type queuedRequest struct {
	// queue is the index of the queue in the pool.
	queue    int
	queuedAt time.Time
}

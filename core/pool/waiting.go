package pool

import "time"

// waiting is where and since when a request without a slot is queued.
type waiting struct {
	queue    int
	queuedAt time.Time
}

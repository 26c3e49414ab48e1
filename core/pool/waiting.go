package pool

import "time"

// waiting is a request that has no slot yet.
type waiting struct {
	queue int
	since time.Time
}

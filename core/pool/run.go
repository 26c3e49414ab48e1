package pool

import "time"

// run is a request that has a slot.
type run struct {
	life  string
	rank  int
	since time.Time
	until time.Time
	host  uint32
	key   int
}

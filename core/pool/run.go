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

// hostOf returns the host that a ticket is of.
func hostOf(ticket uint64) uint32 { return uint32(ticket >> 32) }

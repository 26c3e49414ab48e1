package pool

import (
	"cmp"
	"time"
)

// rankedCost compares servers for one request: by penalty, then by expected time, then by incarnation. Less is better.
type rankedCost struct {
	penalty      int
	expectedTime time.Duration
	incarnation  string
}

func (c rankedCost) isLess(o rankedCost) bool {
	return cmp.Or(cmp.Compare(c.penalty, o.penalty), cmp.Compare(c.expectedTime, o.expectedTime), cmp.Compare(c.incarnation, o.incarnation)) < 0
}

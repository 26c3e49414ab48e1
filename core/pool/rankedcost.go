package pool

import (
	"cmp"
	"time"
)

// rankedCost compares servers for one request; less is better.
type rankedCost struct {
	class    int
	expected time.Duration
	life     string
}

func (c rankedCost) isLess(o rankedCost) bool {
	return cmp.Or(cmp.Compare(c.class, o.class), cmp.Compare(c.expected, o.expected), cmp.Compare(c.life, o.life)) < 0
}

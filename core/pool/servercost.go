package pool

import (
	"cmp"
	"time"
)

// serverCost is the cost of running a request on one server. Costs are compared by penalty, then by expected time, then
// by incarnation; the lowest is best.
type serverCost struct {
	penalty      int
	expectedTime time.Duration
	incarnation  string
}

func (c serverCost) isLess(o serverCost) bool {
	return cmp.Or(cmp.Compare(c.penalty, o.penalty), cmp.Compare(c.expectedTime, o.expectedTime), cmp.Compare(c.incarnation, o.incarnation)) < 0
}

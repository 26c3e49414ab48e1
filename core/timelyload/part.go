package timelyload

import "cmp"

// part is one of the steps of the capacity of a class of servers.
type part struct {
	class class
	step  int
	// timely is the share of the part's load that ends within the objective. It counts the requests that are late on account of
	// this load.
	timely float64
	load   float64
}

func (p part) compare(q part) int {
	return cmp.Or(cmp.Compare(q.timely, p.timely), cmp.Compare(p.step, q.step), cmp.Compare(p.class.work, q.class.work), cmp.Compare(p.class.slots, q.class.slots))
}

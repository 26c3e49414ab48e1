package ownership

import (
	"cmp"

	"redwingsill/core/keyrange"
)

// withAvailableTarget returns the state with another target for a freed range, the member with the lowest load for its
// capacity, if the planned one is leaving, gone or replaced. When a data centre is evacuated, tens of ranges need another target
// at once, so ranges that are on their way to a member count as its own.
func (o Ownership) withAvailableTarget(r keyrange.Range, m move) Ownership {
	if m.stage != freed || o.canOwn(m.to) {
		return o
	}
	loads, keyCounts := map[string]float64{}, map[string]int{}
	for _, h := range o.keys.Holdings() {
		loads[h.Owner] += o.rates.Sum(h.Range)
		keyCounts[h.Owner] += h.Range.Width()
	}
	for moving, other := range o.moves {
		loads[other.to] += o.rates.Sum(moving)
		keyCounts[other.to] += moving.Width()
	}
	isBetter := func(a, b string) bool {
		byLoad := cmp.Compare(loads[a]/o.capacityOf(a), loads[b]/o.capacityOf(b))
		return cmp.Or(byLoad, cmp.Compare(keyCounts[a], keyCounts[b]), cmp.Compare(a, b)) < 0
	}
	best := ""
	for incarnation := range o.members {
		if o.canOwn(incarnation) && (best == "" || isBetter(incarnation, best)) {
			best = incarnation
		}
	}
	if best == "" {
		return o
	}
	m.to = best
	return o.withMove(r, m)
}

// capacityOf returns how many requests of average duration an incarnation runs concurrently.
func (o Ownership) capacityOf(incarnation string) float64 {
	if c, ok := o.capacities[incarnation]; ok {
		return c
	}
	return float64(max(1, o.members[incarnation].Slots))
}

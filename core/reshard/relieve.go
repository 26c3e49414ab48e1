package reshard

import (
	"redwingsill/core/keyrange"
)

// relieve moves busy spans from the busiest servers to the idlest.
func (p *Plan) relieve(most int) {
	for tries := 0; len(p.moves) < most && tries < 2*most; tries++ {
		from, to := p.hottest(), p.coldest()
		if from < 0 || from == to {
			return
		}
		hot, cold, mean := p.owners[from], p.owners[to], p.mean()
		if hot.use() < overload || hot.use() < imbalance*mean || cold.use() > fullest {
			return
		}
		target := min(overload, max(mean, 0.4))
		want := min((hot.use()-target)*hot.capacity, (max(fullest, mean)-cold.use())*cold.capacity)
		r, ok := p.window(from, want)
		if !ok {
			p.owners[from].isFixed = true
			continue
		}
		p.move(r, to)
	}
}

// window returns the narrowest span of a server's keys whose load is about what is wanted, else the one with the most
// load up to that, and whether there is one.
func (p *Plan) window(from int, want float64) (keyrange.Range, bool) {
	var narrowest, fullest keyrange.Range
	most := 0.0
	isFound := false
	for _, h := range p.keys.Holdings() {
		if h.Owner != p.owners[from].life || p.isMoving(h.Range) || p.isSettling(h.Range) {
			continue
		}
		keys, rates := p.load.In(h.Range)
		first, sum := 0, 0.0
		for last := range keys {
			sum += rates[last] * p.work.Seconds()
			for first <= last && sum > want {
				sum -= rates[first] * p.work.Seconds()
				first++
			}
			if first > last {
				continue
			}
			r := keyrange.Range{From: keys[first], To: keys[last]}
			if sum > most {
				fullest, most = r, sum
			}
			if sum > want/2 && (!isFound || r.Width() < narrowest.Width()) {
				narrowest, isFound = r, true
			}
		}
	}
	if isFound {
		return narrowest, true
	}
	return fullest, most > 0
}

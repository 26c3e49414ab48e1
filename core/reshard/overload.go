package reshard

import (
	"redwingsill/core/keyrange"
)

// relieveOverloaded moves ranges with load from the busiest servers to the least used ones.
func (p *Plan) relieveOverloaded(limit int) {
	for tries := 0; len(p.moves) < limit && tries < 2*limit; tries++ {
		from, to := p.busiest(), p.leastUsed()
		if from < 0 || from == to {
			return
		}
		busy, idle, mean := p.owners[from], p.owners[to], p.meanUtilisation()
		if busy.utilisation() < overloadThreshold || busy.utilisation() < minImbalance*mean || idle.utilisation() > maxTargetUtilisation {
			return
		}
		target := min(overloadThreshold, max(mean, minRelievedUtilisation))
		want := min((busy.utilisation()-target)*busy.capacity, (max(maxTargetUtilisation, mean)-idle.utilisation())*idle.capacity)
		r, ok := p.rangeWithLoad(from, want)
		if !ok {
			p.owners[from].hasNoMovableRange = true
			continue
		}
		p.move(r, to)
	}
}

// rangeWithLoad returns the narrowest range of a server's keys with more than half of the wanted load and no more than
// all of it, or else the range with the highest load below that. The result is false if no range with load fits.
func (p *Plan) rangeWithLoad(from int, want float64) (keyrange.Range, bool) {
	var narrowest, busiest keyrange.Range
	highest := 0.0
	isFound := false
	for _, h := range p.keys.Holdings() {
		if h.Owner != p.owners[from].incarnation || p.isInPlan(h.Range) || p.isRecentlyMoved(h.Range) {
			continue
		}
		keys, rates := p.rates.In(h.Range)
		first, sum := 0, 0.0
		for last := range keys {
			sum += rates[last] * p.meanServiceTime.Seconds()
			for first <= last && sum > want {
				sum -= rates[first] * p.meanServiceTime.Seconds()
				first++
			}
			if first > last {
				continue
			}
			r := keyrange.Range{From: keys[first], To: keys[last]}
			if sum > highest {
				busiest, highest = r, sum
			}
			if sum > want/2 && (!isFound || r.Width() < narrowest.Width()) {
				narrowest, isFound = r, true
			}
		}
	}
	if isFound {
		return narrowest, true
	}
	return busiest, highest > 0
}

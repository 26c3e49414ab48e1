package reshard

import (
	"cmp"
	"maps"
	"slices"

	"redwingsill/core/keyrange"
)

// serveWaiting moves the keys of requests that wait for a busy owner to servers with free slots. A key with a running
// request stays, since it could move only after that request has ended.
func (p *Plan) serveWaiting(limit int) {
	if len(p.keys.Holdings()) > 2*maxMeanHoldings*len(p.owners) {
		return
	}
	freeSlots := map[string]int{}
	for incarnation, load := range p.ownerLoads {
		if p.indexOf(incarnation) >= 0 && len(load.Waiting) == 0 && load.Free > 0 {
			freeSlots[incarnation] = load.Free
		}
	}
	byQueueLength := slices.SortedFunc(maps.Keys(p.ownerLoads), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(p.ownerLoads[b].Waiting), len(p.ownerLoads[a].Waiting)), cmp.Compare(a, b))
	})
	for _, incarnation := range byQueueLength {
		load := p.ownerLoads[incarnation]
		for _, key := range load.Waiting {
			if len(p.moves) >= limit {
				return
			}
			if slices.Contains(load.Running, key) {
				continue
			}
			r, ok := p.rangeAround(key, load.Running)
			if !ok {
				continue
			}
			to := p.leastUsedWithFreeSlots(freeSlots)
			if to < 0 {
				return
			}
			freeSlots[p.owners[to].incarnation]--
			p.move(r, to)
		}
	}
}

// leastUsedWithFreeSlots returns the index of the least used owner with free slots, or -1.
func (p *Plan) leastUsedWithFreeSlots(freeSlots map[string]int) int {
	best := -1
	for i, o := range p.owners {
		if freeSlots[o.incarnation] > 0 && (best < 0 || o.utilisation() < p.owners[best].utilisation()) {
			best = i
		}
	}
	return best
}

// rangeAround returns a range around a key within one holding, without the keys of running requests and with a load of
// at most maxWaitingRangeLoad unless the key alone has more, and whether there is one. The range includes the idle keys
// on both sides, so that few ranges are cut.
func (p *Plan) rangeAround(key int, running []int) (keyrange.Range, bool) {
	h, ok := p.keys.HoldingOf(key)
	if !ok || h.Fence == movedFence || p.isRecentlyMoved(h.Range) {
		return keyrange.Range{}, false
	}
	width := (keyrange.MaxKey + 1) / len(p.owners) / waitingRangeDivisor
	r := keyrange.Range{From: max(h.Range.From, key-width), To: min(h.Range.To, key+width)}
	for _, other := range running {
		if other < key {
			r.From = max(r.From, other+1)
		} else {
			r.To = min(r.To, other-1)
		}
	}
	keys, rates := p.rates.In(r)
	position, found := slices.BinarySearch(keys, key)
	sum := 0.0
	if found {
		sum = rates[position] * p.meanServiceTime.Seconds()
	}
	left, right := position-1, position
	if found {
		right = position + 1
	}
	for left >= 0 || right < len(keys) {
		takesRight := left < 0 || right < len(keys) && keys[right]-key < key-keys[left]
		next := left
		if takesRight {
			next = right
		}
		if sum += rates[next] * p.meanServiceTime.Seconds(); sum > maxWaitingRangeLoad {
			if left >= 0 {
				r.From = keys[left] + 1
			}
			if right < len(keys) {
				r.To = keys[right] - 1
			}
			return r, true
		}
		if takesRight {
			right++
		} else {
			left--
		}
	}
	return r, true
}

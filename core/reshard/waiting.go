package reshard

import (
	"cmp"
	"maps"
	"slices"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// serveWaiting moves the keys of requests that wait for a busy owner to servers that are free. A key with work under way
// stays, since it could only move after that.
func (p *Plan) serveWaiting(most int) {
	if len(p.keys.Holdings()) > 2*mostHoldings*len(p.owners) {
		return
	}
	free := map[string]int{}
	for life, one := range p.pressures {
		if p.find(life) >= 0 && len(one.Waiting) == 0 && one.Free > 0 {
			free[life] = one.Free
		}
	}
	pressed := slices.SortedFunc(maps.Keys(p.pressures), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(p.pressures[b].Waiting), len(p.pressures[a].Waiting)), cmp.Compare(a, b))
	})
	for _, life := range pressed {
		one := p.pressures[life]
		for _, key := range one.Waiting {
			if len(p.moves) >= most {
				return
			}
			if slices.Contains(one.Running, key) {
				continue
			}
			r, ok := p.around(key, one.Running)
			if !ok {
				continue
			}
			to := p.freest(free)
			if to < 0 {
				return
			}
			free[p.owners[to].life]--
			p.move(r, to)
		}
	}
}

// freest returns the owner that is free and used least, or -1.
func (p *Plan) freest(free map[string]int) int {
	best := -1
	for i, o := range p.owners {
		if free[o.life] > 0 && (best < 0 || o.use() < p.owners[best].use()) {
			best = i
		}
	}
	return best
}

// around returns a range around a key that has little other work and none under way, within one holding. It reaches up to
// the next keys that have work, so that few ranges are cut.
func (p *Plan) around(key int, running []int) (keyrange.Range, bool) {
	h, ok := p.keys.OwnerOf(key)
	if !ok || h.Fence == moved || p.isSettling(h.Range) {
		return keyrange.Range{}, false
	}
	width := (keyrange.Last + 1) / len(p.owners) / waitingPart
	r := keyrange.Range{From: max(h.Range.From, key-width), To: min(h.Range.To, key+width)}
	for _, other := range running {
		if other < key {
			r.From = max(r.From, other+1)
		} else {
			r.To = min(r.To, other-1)
		}
	}
	keys, rates := p.load.In(r)
	at, found := slices.BinarySearch(keys, key)
	sum := 0.0
	if found {
		sum = rates[at] * p.work.Seconds()
	}
	left, right := at-1, at
	if found {
		right = at + 1
	}
	for left >= 0 || right < len(keys) {
		isRight := left < 0 || right < len(keys) && keys[right]-key < key-keys[left]
		next := left
		if isRight {
			next = right
		}
		if sum += rates[next] * p.work.Seconds(); sum > waitingLoad {
			if left >= 0 {
				r.From = keys[left] + 1
			}
			if right < len(keys) {
				r.To = keys[right] - 1
			}
			return r, true
		}
		if isRight {
			right++
		} else {
			left--
		}
	}
	return r, true
}

// tidy joins small ranges with little work to a neighbour's where there are many.
func (p *Plan) tidy(most int) {
	for joined := 0; joined < mostJoined && len(p.moves) < most; joined++ {
		holdings := p.keys.Holdings()
		if len(holdings) <= mostHoldings*len(p.owners) {
			return
		}
		best, to := -1, -1
		for i, h := range holdings {
			if h.Fence == moved || p.isSettling(h.Range) || p.isPressed(h.Owner) || best >= 0 && h.Range.Width() >= holdings[best].Range.Width() {
				continue
			}
			if n := p.neighbour(holdings, i); n >= 0 {
				best, to = i, n
			}
		}
		if best < 0 {
			return
		}
		p.move(holdings[best].Range, to)
	}
}

// neighbour returns the owner next to a holding that can take it, or -1.
func (p *Plan) neighbour(holdings []holding.Holding, i int) int {
	for _, next := range []int{i - 1, i + 1} {
		if next < 0 || next >= len(holdings) || holdings[next].Owner == holdings[i].Owner {
			continue
		}
		n := p.find(holdings[next].Owner)
		if n >= 0 && !p.isPressed(holdings[next].Owner) &&
			(p.owners[n].load+p.workIn(holdings[i].Range))/p.owners[n].capacity <= fullest {
			return n
		}
	}
	return -1
}

func (p *Plan) isPressed(life string) bool { return len(p.pressures[life].Waiting) > 0 }

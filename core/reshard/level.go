package reshard

import (
	"cmp"
	"slices"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

const (
	// levelHysteresis is the part by which a server's steady load exceeds its target before keys move. The steady load of a
	// server is known to about a tenth.
	levelHysteresis = 0.2
	// minLevelLoad is the lowest load, in concurrent requests, that is worth a move.
	minLevelLoad = 0.1
	// levelHorizon is the time for which a server's speed and its share of the load are expected to last, and levelGain the
	// share of the moved requests that are in time only at the new owner.
	levelHorizon = 20 * time.Second
	levelGain    = 0.05
)

// levelShares moves ranges from servers whose steady load exceeds their target to servers below theirs, so that keys are shared
// by speed before requests are late. It prefers to shift the border of two neighbouring ranges, which leaves no more ranges.
func (p *Plan) levelShares(limit int) {
	donors, takers := make([]int, 0, len(p.owners)), make([]int, 0, len(p.owners))
	for i, o := range p.owners {
		switch {
		case p.surplus(i) > levelHysteresis*p.targets[i]+minLevelLoad/2:
			donors = append(donors, i)
		case p.surplus(i) < -minLevelLoad && p.isTarget(o) && !p.hasWaiting(o.incarnation):
			takers = append(takers, i)
		}
	}
	slices.SortFunc(donors, func(a, b int) int { return cmp.Compare(p.surplus(b), p.surplus(a)) })
	slices.SortFunc(takers, func(a, b int) int { return cmp.Compare(p.surplus(a), p.surplus(b)) })
	ranges := p.movableRanges()
	for _, from := range donors {
		if len(takers) == 0 || len(p.moves) >= limit {
			return
		}
		r, to := p.levelMove(from, takers[0], ranges[from])
		if to < 0 {
			continue
		}
		load := p.steady.Sum(r) * p.meanServiceTime.Seconds()
		p.owners[from].steadyLoad -= load
		p.owners[to].steadyLoad += load
		p.moveAll([]holding.Holding{{Range: r, Owner: p.owners[to].incarnation}})
		slices.SortFunc(takers, func(a, b int) int { return cmp.Compare(p.surplus(a), p.surplus(b)) })
		if p.surplus(takers[len(takers)-1]) > -minLevelLoad {
			takers = takers[:len(takers)-1]
		}
	}
}

// surplus returns by how much the steady load of the owner at an index exceeds its target.
func (p *Plan) surplus(i int) float64 { return p.owners[i].steadyLoad - p.targets[i] }

// movableRanges returns for each owner the indices of its holdings that may move.
func (p *Plan) movableRanges() [][]int {
	ranges := make([][]int, len(p.owners))
	for n, h := range p.keys.Holdings() {
		if i := p.indexOf(h.Owner); i >= 0 && h.Fence != movedFence && !p.isRecentlyMoved(h.Range) {
			ranges[i] = append(ranges[i], n)
		}
	}
	return ranges
}

// levelMove returns a range of the owner at index from and the index of the owner that it should move to: the owner of a
// neighbouring range that takes at least half as much as the taker, or else the taker. The index is -1 if no range fits.
func (p *Plan) levelMove(from, taker int, ranges []int) (keyrange.Range, int) {
	holdings := p.keys.Holdings()
	best, to, highest := keyrange.Range{}, -1, 0.0
	for _, n := range ranges {
		if n >= len(holdings) || holdings[n].Owner != p.owners[from].incarnation || holdings[n].Fence == movedFence {
			continue // an earlier move of this plan has changed the holdings
		}
		for _, side := range []int{-1, 1} {
			target, weight := taker, 1.0
			if n+side >= 0 && n+side < len(holdings) && holdings[n+side].Range.From-holdings[n].Range.To <= 1 {
				if i := p.indexOf(holdings[n+side].Owner); i >= 0 && p.surplus(i) < -minLevelLoad && !p.hasWaiting(holdings[n+side].Owner) {
					target, weight = i, 2
				}
			}
			want := min(p.surplus(from), -p.surplus(target))
			r, load := p.endOf(holdings[n].Range, side, want)
			rate := load / p.meanServiceTime.Seconds()
			if load >= minLevelLoad/2 && p.cost.Pays(levelGain*rate*levelHorizon.Seconds(), rate, p.runningWork(from, r)) && weight*load > highest && p.loadIn(r) <= 2*want {
				best, to, highest = r, target, weight*load
			}
		}
	}
	return best, to
}

// runningWork returns how long work may still run on keys of a range of the owner at an index.
func (p *Plan) runningWork(i int, r keyrange.Range) time.Duration {
	if slices.ContainsFunc(p.ownerLoads[p.owners[i].incarnation].Running, r.Contains) {
		return p.meanServiceTime
	}
	return 0
}

// endOf returns the part at the lower (-1) or upper (1) end of a range that has up to the wanted steady load, and its load.
func (p *Plan) endOf(r keyrange.Range, side int, want float64) (keyrange.Range, float64) {
	keys, rates := p.steady.In(r)
	sum, part := 0.0, keyrange.Range{From: 0, To: -1}
	for n := range keys {
		i := n
		if side > 0 {
			i = len(keys) - 1 - n
		}
		load := rates[i] * p.meanServiceTime.Seconds()
		if sum+load > want {
			break
		}
		sum += load
		if side > 0 {
			part = keyrange.Range{From: keys[i], To: r.To}
		} else {
			part = keyrange.Range{From: r.From, To: keys[i]}
		}
	}
	return part, sum
}

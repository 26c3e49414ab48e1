package reshard

import "redwingsill/core/holding"

// joinSmallRanges moves the smallest ranges to the owner of an adjacent one while there are many.
func (p *Plan) joinSmallRanges(limit int) {
	for joined := 0; joined < maxJoins && len(p.moves) < limit; joined++ {
		holdings := p.keys.Holdings()
		if len(holdings) <= maxMeanHoldings*len(p.owners) {
			return
		}
		smallest, to := -1, -1
		for i, h := range holdings {
			if h.Fence == movedFence || p.isRecentlyMoved(h.Range) || p.hasWaiting(h.Owner) || smallest >= 0 && h.Range.Width() >= holdings[smallest].Range.Width() {
				continue
			}
			if n := p.joinTarget(holdings, i); n >= 0 {
				smallest, to = i, n
			}
		}
		if smallest < 0 {
			return
		}
		p.move(holdings[smallest].Range, to)
	}
}

// joinTarget returns the index of an owner of an adjacent range that can take the holding's load, or -1.
func (p *Plan) joinTarget(holdings []holding.Holding, i int) int {
	for _, next := range []int{i - 1, i + 1} {
		if next < 0 || next >= len(holdings) || holdings[next].Owner == holdings[i].Owner {
			continue
		}
		n := p.indexOf(holdings[next].Owner)
		if n >= 0 && !p.hasWaiting(holdings[next].Owner) &&
			(p.owners[n].load+p.loadIn(holdings[i].Range))/p.owners[n].capacity <= maxTargetUtilisation {
			return n
		}
	}
	return -1
}

func (p *Plan) hasWaiting(incarnation string) bool { return len(p.ownerLoads[incarnation].Waiting) > 0 }

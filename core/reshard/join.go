package reshard

import "redwingsill/core/holding"

// joinSmallRanges moves the smallest ranges to the owner of an adjacent range, so that the two can be joined, while
// there are more than maxMeanHoldings ranges per owner on average. It plans at most maxJoins moves, and none once the
// plan has limit moves in total. Ranges that moved recently and owners with waiting requests are left out.
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

// joinTarget returns the index of an owner that holds a range adjacent to holding i and can take that holding's load, or
// -1 if there is none.
func (p *Plan) joinTarget(holdings []holding.Holding, i int) int {
	for _, adjacent := range []int{i - 1, i + 1} {
		if adjacent < 0 || adjacent >= len(holdings) || holdings[adjacent].Owner == holdings[i].Owner {
			continue
		}
		n := p.indexOf(holdings[adjacent].Owner)
		if n >= 0 && !p.hasWaiting(holdings[adjacent].Owner) &&
			(p.owners[n].load+p.loadIn(holdings[i].Range))/p.owners[n].capacity <= maxTargetUtilisation {
			return n
		}
	}
	return -1
}

// hasWaiting reports whether requests wait for the server.
func (p *Plan) hasWaiting(incarnation string) bool { return len(p.ownerLoads[incarnation].Waiting) > 0 }

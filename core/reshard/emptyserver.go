package reshard

import (
	"redwingsill/core/keyrange"
)

// seedEmptyServers moves keys to servers that have none.
func (p *Plan) seedEmptyServers(limit int) {
	for i := range p.owners {
		if p.owners[i].keyCount > 0 || len(p.moves) >= limit {
			continue
		}
		from := p.busiest()
		if from < 0 {
			continue
		}
		if r, ok := p.rangeForEmptyServer(from, p.owners[i].capacity); ok {
			p.move(r, i)
		}
	}
}

// rangeForEmptyServer returns a range of keys for a server of the given capacity that has none, and whether there is
// one. The range has up to emptyServerLoadShare of the server's fair share of the load, taken from the owner at index
// from, or more if single keys are too busy for that. If there is no load, or no range with a load that fits, the range
// is a part of the widest holding.
func (p *Plan) rangeForEmptyServer(from int, capacity float64) (keyrange.Range, bool) {
	maxLoad := p.owners[from].load * emptyServerLoadShare
	for want := min(p.meanUtilisation()*capacity*emptyServerLoadShare, maxLoad); want > 0; want = min(2*want, maxLoad) {
		if r, ok := p.rangeWithLoad(from, want); ok {
			return r, true
		}
		if want >= maxLoad {
			break
		}
	}
	return p.partOfWidestHolding()
}

// partOfWidestHolding returns a range of keys cut from the widest holding that the plan has not moved, and whether there
// is one.
func (p *Plan) partOfWidestHolding() (keyrange.Range, bool) {
	var best keyrange.Range
	for _, h := range p.keys.Holdings() {
		if h.Range.Width() > best.Width() && !p.isInPlan(h.Range) {
			best = h.Range
		}
	}
	width := int(emptyServerKeyShare * float64(keyrange.MaxKey+1) / float64(len(p.owners)))
	width = min(width, best.Width()/2)
	return keyrange.Range{From: best.To - width + 1, To: best.To}, width > 0
}

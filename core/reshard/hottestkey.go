package reshard

import (
	"redwingsill/core/keyrange"
	"redwingsill/core/weightedcut"
)

// moveHottestKey moves the key with the highest load to the server with the most capacity, if the key uses minShare or more of
// its owner's capacity and the server has at least minCapacityRatio times that capacity. A single key can't be split among
// servers.
func (p *Plan) moveHottestKey(minShare float64, limit int) {
	if len(p.moves) >= limit {
		return
	}
	key, rate := p.rates.Hottest()
	h, ok := p.keys.HoldingOf(key)
	if !ok || h.Fence == movedFence || p.isRecentlyMoved(h.Range) {
		return
	}
	from, to := p.indexOf(h.Owner), p.largest()
	if from < 0 || rate*p.meanServiceTime.Seconds() < minShare*p.owners[from].capacity ||
		p.owners[to].capacity < minCapacityRatio*p.owners[from].capacity {
		return
	}
	p.move(keyrange.Range{From: key, To: key}, to)
}

// isolateKey moves the other keys with load from the owner at an index whose one key uses all of its capacity.
func (p *Plan) isolateKey(from, key int, cut weightedcut.Cut, limit int) {
	o := p.owners[from]
	isKept := func(other int) bool { return other == key }
	excess := o.load - p.rates.Of(key)*p.meanServiceTime.Seconds()
	if excess < minLevelLoad {
		return
	}
	for _, h := range p.keys.Holdings() {
		if h.Owner == o.incarnation && h.Fence != movedFence && !p.isRecentlyMoved(h.Range) {
			s := p.hotSpanIn(h.Range, 0)
			excess -= p.moveParts(cut.Parts(s.in, s.keys, s.loads, isKept, excess, o.utilisation(), limit-len(p.moves)))
		}
	}
}

// largest returns the index of the owner with the most capacity.
func (p *Plan) largest() int {
	best := 0
	for i, o := range p.owners {
		if o.capacity > p.owners[best].capacity {
			best = i
		}
	}
	return best
}

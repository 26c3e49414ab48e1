package reshard

import "redwingsill/core/keyrange"

// moveHottestKey moves the key with the highest load to the server with the most capacity, if the key uses hotKeyShare
// or more of its owner's capacity and the server has at least minCapacityRatio times that capacity. A single key can't
// be split among servers.
func (p *Plan) moveHottestKey(limit int) {
	if len(p.moves) >= limit {
		return
	}
	key, rate := p.rates.Hottest()
	h, ok := p.keys.HoldingOf(key)
	if !ok || h.Fence == movedFence || p.isRecentlyMoved(h.Range) {
		return
	}
	from, to := p.indexOf(h.Owner), p.largest()
	if from < 0 || rate*p.meanServiceTime.Seconds() < hotKeyShare*p.owners[from].capacity ||
		p.owners[to].capacity < minCapacityRatio*p.owners[from].capacity {
		return
	}
	p.move(keyrange.Range{From: key, To: key}, to)
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

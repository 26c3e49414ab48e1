package reshard

import "redwingsill/core/keyrange"

// promote moves the hottest key to the server with the most capacity, if it is nearly too much for its owner: one key can
// only be served by one server.
func (p *Plan) promote(most int) {
	if len(p.moves) >= most {
		return
	}
	key, rate := p.load.Hottest()
	h, ok := p.keys.OwnerOf(key)
	if !ok || h.Fence == moved || p.isSettling(h.Range) {
		return
	}
	from, to := p.find(h.Owner), p.largest()
	if from < 0 || rate*p.work.Seconds() < promoted*p.owners[from].capacity ||
		p.owners[to].capacity < promotion*p.owners[from].capacity {
		return
	}
	p.move(keyrange.Range{From: key, To: key}, to)
}

// largest returns the owner with the most capacity.
func (p *Plan) largest() int {
	best := 0
	for i, o := range p.owners {
		if o.capacity > p.owners[best].capacity {
			best = i
		}
	}
	return best
}

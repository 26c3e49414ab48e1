package reshard

import (
	"cmp"
	"slices"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/weightedcut"
)

const (
	// surgeThreshold is the utilisation from which the hot keys of a server are spread at once, if it is also minImbalance times
	// the mean. Above it queues grow without end.
	surgeThreshold = 0.9
	// minSpreadLevel is the lowest utilisation to which other servers are filled with hot keys, and roomReserve by how much
	// their room exceeds the load that is spread, since keys don't fill it evenly.
	minSpreadLevel = 0.6
	roomReserve    = 1.3
	// minHotKeyShare is the fraction of the mean capacity that a hot key uses at least. A key that has had two requests in the
	// last second by chance uses less.
	minHotKeyShare = 0.15
	// aloneShare is the fraction of its owner's capacity from which a key has its owner for itself. A key that seems to use the
	// whole server may be one of many hot keys whose rates are not known well yet.
	aloneShare = 1.5
	// surgeHorizon is the time for which a surge is expected to go on. Hot periods last several times as long.
	surgeHorizon = time.Second
	// levelSteps is the number of halvings that find the level. It gives three digits.
	levelSteps = 10
)

// spreadSurges moves the hot keys of overloaded servers in parts to many others.
func (p *Plan) spreadSurges(limit int) {
	threshold := max(surgeThreshold, minImbalance*p.meanUtilisation())
	var donors []int
	excess := 0.0
	capacities, loads := make([]float64, len(p.owners)), make([]float64, len(p.owners))
	for i, o := range p.owners {
		if o.utilisation() >= threshold {
			donors = append(donors, i)
			excess += o.load - minSpreadLevel*o.capacity
		} else if p.isTarget(o) {
			capacities[i] = o.capacity
			loads[i] = o.load + float64(len(p.ownerLoads[o.incarnation].Waiting))/2
		}
	}
	if len(donors) == 0 || len(p.moves) >= limit {
		return
	}
	level := spreadLevel(capacities, loads, roomReserve*excess)
	cut := weightedcut.New(capacities, loads, level)
	slices.SortFunc(donors, func(a, b int) int { return cmp.Compare(p.owners[b].load, p.owners[a].load) })
	for _, i := range donors {
		p.spread(i, cut, level, limit)
	}
}

// isTarget reports whether a server may receive keys to spread hot ones or to level shares.
func (p *Plan) isTarget(o owner) bool { return !p.ownerLoads[o.incarnation].IsUnfit }

// spreadLevel returns the lowest utilisation, of minSpreadLevel or more, at which servers have the given room, or 1.
func spreadLevel(capacities, loads []float64, want float64) float64 {
	low, high := minSpreadLevel, 1.0
	for range levelSteps {
		level, room := (low+high)/2, 0.0
		for i, capacity := range capacities {
			room += max(0, level*capacity-loads[i])
		}
		if room < want {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// spread moves hot keys of the owner at index from until its utilisation is at most the level, also those that moved a short time
// ago: the first arrivals may have told too little of their rates. Hot keys with running requests
// stay as far as the owner can serve them, since they could move only after these have ended.
func (p *Plan) spread(from int, cut weightedcut.Cut, level float64, limit int) {
	o := p.owners[from]
	var spans []hotSpan
	hot := 0.0
	for _, h := range p.keys.Holdings() {
		if h.Owner == o.incarnation && h.Fence != movedFence {
			if s := p.hotSpanIn(h.Range, minHotKeyShare*p.meanCapacity()); len(s.keys) > 0 {
				spans = append(spans, s)
				hot += s.load
			}
		}
	}
	if key, load := p.hottestOf(spans); load >= aloneShare*o.capacity && minCapacityRatio*o.capacity > p.owners[p.largest()].capacity {
		p.isolateKey(from, key, cut, limit)
		return
	}
	excess := o.load - level*o.capacity
	if hot < excess/2 {
		return // the load is spread over many keys
	}
	kept, keptLoad := map[int]bool{}, o.load-hot
	for _, key := range p.ownerLoads[o.incarnation].Running {
		load := p.rates.Of(key) * p.meanServiceTime.Seconds()
		if !kept[key] && keptLoad+load <= level*o.capacity {
			kept[key] = true
			keptLoad += load
		}
	}
	for _, s := range spans {
		excess -= p.moveParts(cut.Parts(s.in, s.keys, s.loads, func(key int) bool { return kept[key] }, excess, o.utilisation(), limit-len(p.moves)))
	}
}

// hottestOf returns the key with the highest load, and that load.
func (p *Plan) hottestOf(spans []hotSpan) (int, float64) {
	hottest, highest := 0, 0.0
	for _, s := range spans {
		for i, load := range s.loads {
			if load > highest {
				hottest, highest = s.keys[i], load
			}
		}
	}
	return hottest, highest
}

// moveParts plans the moves of parts, and returns their load.
func (p *Plan) moveParts(parts []weightedcut.Part) float64 {
	moved, load := make([]holding.Holding, 0, len(parts)), 0.0
	for _, part := range parts {
		rate := part.Load / p.meanServiceTime.Seconds()
		if !p.cost.Pays(rate*surgeHorizon.Seconds(), rate, 0) {
			continue
		}
		moved = append(moved, holding.Holding{Range: part.Range, Owner: p.owners[part.Target].incarnation})
		load += part.Load
	}
	p.moveAll(moved)
	return load
}

func (p *Plan) meanCapacity() float64 {
	sum := 0.0
	for _, o := range p.owners {
		sum += o.capacity
	}
	return sum / float64(len(p.owners))
}

// moveAll plans the moves of ranges that don't overlap and each lie in one holding.
func (p *Plan) moveAll(moved []holding.Holding) {
	marked := make([]holding.Holding, 0, len(moved))
	for _, h := range moved {
		load := p.loadIn(h.Range)
		from, to := p.indexOf(p.ownerOf(h.Range.From)), p.indexOf(h.Owner)
		p.owners[from].load -= load
		p.owners[from].keyCount -= h.Range.Width()
		p.owners[to].load += load
		p.owners[to].keyCount += h.Range.Width()
		marked = append(marked, holding.Holding{Range: h.Range, Owner: h.Owner, Fence: movedFence})
	}
	p.moves = append(p.moves, moved...)
	p.keys = p.keys.WithAll(marked)
}

func (p *Plan) ownerOf(key int) string {
	h, _ := p.keys.HoldingOf(key)
	return h.Owner
}

// Package reshard decides which keys of a divided service should change their owner.
package reshard

import (
	"cmp"
	"slices"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/keyrates"
	"redwingsill/core/ownerload"
)

const (
	// overload is the part of a server's capacity from which on it gives keys away: queues grow fast above it.
	overload = 0.7
	// imbalance is how many times the service's mean use a server must be used before it gives keys away.
	imbalance = 1.25
	// fullest is the use up to which a server is given keys.
	fullest = 0.65
	// newcomerPart is the part of the mean load that a server without keys is given.
	newcomerPart = 0.7
	// newcomerWidth is the part of an even share of keys that a newcomer is given where there is no load.
	newcomerWidth = 0.3
	// waitingPart bounds the keys that move with a request that waits to that part of an even share to each side, and
	// waitingLoad their work: a part of one slot.
	waitingPart = 16
	waitingLoad = 0.4
	// promoted is the part of its owner's capacity that one key must take to move to a server that has promotion times as
	// much.
	promoted  = 0.6
	promotion = 1.3
	// mostHoldings is how many ranges an owner may have on average before small ones are joined again: each is renewed
	// by a call of its own.
	mostHoldings = 5
	// mostJoined bounds the ranges that are joined at the same time.
	mostJoined = 6
)

// Plan is the moves that a map needs, worked out for the servers, the load and the queues of one moment.
type Plan struct {
	pressures map[string]ownerload.OwnerLoad
	// owners is in the order of the lives, and index finds them.
	owners []owner
	index  map[string]int
	keys   keymap.Map
	load   keyrates.Rates
	work   time.Duration
	moves  []holding.Holding
	// settling lists the ranges that have moved just now and stay for a while.
	settling []keyrange.Range
}

// WithSettling returns the plan in which some ranges stay, since they have moved just now.
func (p Plan) WithSettling(settling []keyrange.Range) Plan {
	p.settling = settling
	return p
}

func (p *Plan) isSettling(r keyrange.Range) bool {
	return slices.ContainsFunc(p.settling, func(s keyrange.Range) bool { return s.Overlaps(r) })
}

// New returns a plan for the map. The capacities give, for each life that may own keys, how many requests of average
// length it runs at the same time; work is that length.
func New(keys keymap.Map, capacities map[string]float64, load keyrates.Rates, pressures map[string]ownerload.OwnerLoad,
	work time.Duration) Plan {
	p := Plan{keys: keys, load: load, pressures: pressures, work: work}
	for life, capacity := range capacities {
		p.owners = append(p.owners, owner{life: life, capacity: capacity})
	}
	slices.SortFunc(p.owners, func(a, b owner) int { return cmp.Compare(a.life, b.life) })
	p.index = make(map[string]int, len(p.owners))
	for i, o := range p.owners {
		p.index[o.life] = i
	}
	for _, h := range keys.Holdings() {
		if i := p.find(h.Owner); i >= 0 {
			p.owners[i].load += p.workIn(h.Range)
			p.owners[i].width += h.Range.Width()
		}
	}
	return p
}

// Moves returns up to so many ranges with the lives that should own them from now on. Ranges that nobody may hold come
// first, then those of requests that wait while others are free, then, where balances is set, those for servers without
// keys and those that relieve the busiest.
func (p Plan) Moves(most int, balances bool) []holding.Holding {
	if len(p.owners) == 0 {
		return nil
	}
	p.moves = nil
	p.adopt()
	p.serveWaiting(most)
	if balances {
		p.promote(most)
		p.welcome(most)
		p.relieve(most)
		p.tidy(most)
	}
	return p.moves
}

// adopt gives away the ranges that nobody holds, or whose owner may no longer own any.
func (p *Plan) adopt() {
	if len(p.keys.Holdings()) == 0 {
		p.spread()
		return
	}
	var orphans []keyrange.Range
	orphans = append(orphans, p.keys.Gaps()...)
	for _, h := range p.keys.Holdings() {
		if p.find(h.Owner) < 0 {
			orphans = append(orphans, h.Range)
		}
	}
	for _, r := range orphans {
		for _, piece := range p.pieces(r) {
			p.move(piece, p.coldest())
		}
	}
}

// spread divides all keys by capacity.
func (p *Plan) spread() {
	total := 0.0
	for _, o := range p.owners {
		total += o.capacity
	}
	from, sum := 0, 0.0
	for i, o := range p.owners {
		sum += o.capacity
		to := int(sum/total*(keyrange.Last+1)) - 1
		if i == len(p.owners)-1 {
			to = keyrange.Last
		}
		if to >= from {
			p.move(keyrange.Range{From: from, To: to}, i)
		}
		from = to + 1
	}
}

// pieces cuts a range so that no piece has more load than half of a mean server's.
func (p *Plan) pieces(r keyrange.Range) []keyrange.Range {
	keys, rates := p.load.In(r)
	bound := p.mean() * p.owners[0].capacity / 2
	var cut []keyrange.Range
	from, sum := r.From, 0.0
	for i, key := range keys {
		work := rates[i] * p.work.Seconds()
		if sum > 0 && bound > 0 && sum+work > bound && key > from && len(cut) < len(p.owners) {
			cut = append(cut, keyrange.Range{From: from, To: key - 1})
			from, sum = key, 0
		}
		sum += work
	}
	return append(cut, keyrange.Range{From: from, To: r.To})
}

func (p *Plan) move(r keyrange.Range, to int) {
	work := p.workIn(r)
	for _, part := range p.keys.In(r) {
		if i := p.find(part.Owner); i >= 0 {
			p.owners[i].load -= p.workIn(part.Range)
			p.owners[i].width -= part.Range.Width()
		}
	}
	p.owners[to].load += work
	p.owners[to].width += r.Width()
	p.moves = append(p.moves, holding.Holding{Range: r, Owner: p.owners[to].life})
	p.keys = p.keys.With(holding.Holding{Range: r, Owner: p.owners[to].life, Fence: moved})
}

// moved marks the ranges of a plan that have moved already.
const moved = -1

func (p *Plan) isMoving(r keyrange.Range) bool {
	return slices.ContainsFunc(p.moves, func(m holding.Holding) bool { return m.Range.Overlaps(r) })
}

func (p *Plan) workIn(r keyrange.Range) float64 { return p.load.Sum(r) * p.work.Seconds() }

func (p *Plan) mean() float64 {
	load, capacity := 0.0, 0.0
	for _, o := range p.owners {
		load += o.load
		capacity += o.capacity
	}
	return load / capacity
}

func (p *Plan) find(life string) int {
	if i, ok := p.index[life]; ok {
		return i
	}
	return -1
}

// hottest returns the owner that is used most, or -1.
func (p *Plan) hottest() int {
	best := -1
	for i, o := range p.owners {
		if o.width > 0 && !o.isFixed && (best < 0 || o.use() > p.owners[best].use()) {
			best = i
		}
	}
	return best
}

// coldest returns the owner that is used least; of those used alike, the one with the fewest keys for its capacity.
func (p *Plan) coldest() int {
	best := 0
	for i, o := range p.owners {
		if cmp.Or(cmp.Compare(o.use(), p.owners[best].use()), cmp.Compare(o.span(), p.owners[best].span())) < 0 {
			best = i
		}
	}
	return best
}

// Package reshard plans which key ranges of a sharded service move to another owner.
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
	// overloadThreshold is the utilisation from which a server gives keys away. Above it queues grow fast.
	overloadThreshold = 0.7
	// minImbalance is how many times the mean utilisation a server must reach before it gives keys away.
	minImbalance = 1.25
	// maxTargetUtilisation is the utilisation up to which a server receives keys.
	maxTargetUtilisation = 0.65
	// emptyServerLoadShare is the fraction of its fair share of the load that a server without keys receives. The same
	// fraction of the busiest server's load is the most that such a server receives.
	emptyServerLoadShare = 0.7
	// emptyServerKeyShare is the fraction of an even share of the keys that a server without keys receives if no range
	// with load can move to that server.
	emptyServerKeyShare = 0.3
	// waitingRangeDivisor and maxWaitingRangeLoad limit the range that moves with the key of a waiting request: to each
	// side of the key an even share of all keys divided by waitingRangeDivisor, and in total a load of
	// maxWaitingRangeLoad concurrent requests.
	waitingRangeDivisor = 16
	maxWaitingRangeLoad = 0.4
	// hotKeyShare is the fraction of its owner's capacity that a key must use to move to a server with at least
	// minCapacityRatio times that capacity.
	hotKeyShare      = 0.6
	minCapacityRatio = 1.3
	// maxMeanHoldings is the mean number of ranges per owner above which small ones are joined. Each range is renewed
	// by a call of its own. Above twice that mean, no range is cut for waiting requests.
	maxMeanHoldings = 5
	// maxJoins limits the ranges that one plan joins.
	maxJoins = 6
	// minRelievedUtilisation is the lowest utilisation that an overloaded server is relieved to.
	minRelievedUtilisation = 0.4
)

// Plan computes the moves for a snapshot of the owners, the load and the queues.
type Plan struct {
	ownerLoads map[string]ownerload.OwnerLoad
	// owners is sorted by incarnation; index maps each incarnation to its position there.
	owners          []owner
	index           map[string]int
	keys            keymap.Map
	rates           keyrates.Rates
	meanServiceTime time.Duration
	moves           []holding.Holding
	// recentlyMoved lists the ranges that should stay with their owners, since they moved a short time ago.
	recentlyMoved []keyrange.Range
}

// WithRecentlyMoved sets the ranges that should stay with their owners, since they moved a short time ago. They move
// all the same if they have lost their owners.
func (p Plan) WithRecentlyMoved(ranges []keyrange.Range) Plan {
	p.recentlyMoved = ranges
	return p
}

func (p *Plan) isRecentlyMoved(r keyrange.Range) bool {
	return slices.ContainsFunc(p.recentlyMoved, func(s keyrange.Range) bool { return s.Overlaps(r) })
}

// New returns a plan for the map. The capacities give how many requests of average duration each incarnation that may
// own keys runs concurrently; meanServiceTime is that average.
func New(keys keymap.Map, capacities map[string]float64, rates keyrates.Rates, ownerLoads map[string]ownerload.OwnerLoad,
	meanServiceTime time.Duration) Plan {
	p := Plan{keys: keys, rates: rates, ownerLoads: ownerLoads, meanServiceTime: meanServiceTime}
	for incarnation, capacity := range capacities {
		p.owners = append(p.owners, owner{incarnation: incarnation, capacity: capacity})
	}
	slices.SortFunc(p.owners, func(a, b owner) int { return cmp.Compare(a.incarnation, b.incarnation) })
	p.index = make(map[string]int, len(p.owners))
	for i, o := range p.owners {
		p.index[o.incarnation] = i
	}
	for _, h := range keys.Holdings() {
		if i := p.indexOf(h.Owner); i >= 0 {
			p.owners[i].load += p.loadIn(h.Range)
			p.owners[i].keyCount += h.Range.Width()
		}
	}
	return p
}

// Moves returns ranges with the incarnations that should own them next, at most limit of them. Only orphaned ranges may
// exceed the limit, but they count towards it. The order of precedence is: orphaned ranges, ranges with waiting
// requests that a free server can take, then, if isBalancing is set, the hottest key, ranges for servers without keys,
// ranges of overloaded servers and small ranges to join. Moves may be called only once, since it updates the owners in
// place.
func (p Plan) Moves(limit int, isBalancing bool) []holding.Holding {
	if len(p.owners) == 0 {
		return nil
	}
	p.moves = nil
	p.reassignOrphans()
	p.serveWaiting(limit)
	if isBalancing {
		p.moveHottestKey(limit)
		p.seedEmptyServers(limit)
		p.relieveOverloaded(limit)
		p.joinSmallRanges(limit)
	}
	return p.moves
}

// reassignOrphans moves the ranges without an owner, or with one that may no longer own keys.
func (p *Plan) reassignOrphans() {
	if len(p.keys.Holdings()) == 0 {
		p.divideByCapacity()
		return
	}
	var orphans []keyrange.Range
	orphans = append(orphans, p.keys.Gaps()...)
	for _, h := range p.keys.Holdings() {
		if p.indexOf(h.Owner) < 0 {
			orphans = append(orphans, h.Range)
		}
	}
	for _, r := range orphans {
		for _, part := range p.splitByLoad(r) {
			p.move(part, p.leastUsed())
		}
	}
}

// divideByCapacity assigns all keys in proportion to capacity.
func (p *Plan) divideByCapacity() {
	total := 0.0
	for _, o := range p.owners {
		total += o.capacity
	}
	from, sum := 0, 0.0
	for i, o := range p.owners {
		sum += o.capacity
		to := int(sum/total*(keyrange.MaxKey+1)) - 1
		if i == len(p.owners)-1 {
			to = keyrange.MaxKey
		}
		if to >= from {
			p.move(keyrange.Range{From: from, To: to}, i)
		}
		from = to + 1
	}
}

// splitByLoad cuts a range so that no part, apart from single keys, has more than half of the load that the first owner
// has at the mean utilisation. There is at most one cut per owner, so that the last part may have more.
func (p *Plan) splitByLoad(r keyrange.Range) []keyrange.Range {
	keys, rates := p.rates.In(r)
	maxLoad := p.meanUtilisation() * p.owners[0].capacity / 2
	var parts []keyrange.Range
	from, sum := r.From, 0.0
	for i, key := range keys {
		load := rates[i] * p.meanServiceTime.Seconds()
		if sum > 0 && maxLoad > 0 && sum+load > maxLoad && key > from && len(parts) < len(p.owners) {
			parts = append(parts, keyrange.Range{From: from, To: key - 1})
			from, sum = key, 0
		}
		sum += load
	}
	return append(parts, keyrange.Range{From: from, To: r.To})
}

// move plans the move of a range to the owner at index to.
func (p *Plan) move(r keyrange.Range, to int) {
	load := p.loadIn(r)
	for _, part := range p.keys.In(r) {
		if i := p.indexOf(part.Owner); i >= 0 {
			p.owners[i].load -= p.loadIn(part.Range)
			p.owners[i].keyCount -= part.Range.Width()
		}
	}
	p.owners[to].load += load
	p.owners[to].keyCount += r.Width()
	p.moves = append(p.moves, holding.Holding{Range: r, Owner: p.owners[to].incarnation})
	p.keys = p.keys.With(holding.Holding{Range: r, Owner: p.owners[to].incarnation, Fence: movedFence})
}

// movedFence replaces the fencing token of ranges that the plan has moved already, so that it moves none of them twice.
const movedFence = -1

func (p *Plan) isInPlan(r keyrange.Range) bool {
	return slices.ContainsFunc(p.moves, func(m holding.Holding) bool { return m.Range.Overlaps(r) })
}

func (p *Plan) loadIn(r keyrange.Range) float64 { return p.rates.Sum(r) * p.meanServiceTime.Seconds() }

func (p *Plan) meanUtilisation() float64 {
	load, capacity := 0.0, 0.0
	for _, o := range p.owners {
		load += o.load
		capacity += o.capacity
	}
	return load / capacity
}

func (p *Plan) indexOf(incarnation string) int {
	if i, ok := p.index[incarnation]; ok {
		return i
	}
	return -1
}

// busiest returns the index of the owner with the highest utilisation among those with keys that may move, or -1.
func (p *Plan) busiest() int {
	best := -1
	for i, o := range p.owners {
		if o.keyCount > 0 && !o.hasNoMovableRange && (best < 0 || o.utilisation() > p.owners[best].utilisation()) {
			best = i
		}
	}
	return best
}

// leastUsed returns the index of the owner with the lowest utilisation, and among equals the one with the fewest keys
// per capacity.
func (p *Plan) leastUsed() int {
	best := 0
	for i, o := range p.owners {
		if cmp.Or(cmp.Compare(o.utilisation(), p.owners[best].utilisation()), cmp.Compare(o.keysPerCapacity(), p.owners[best].keysPerCapacity())) < 0 {
			best = i
		}
	}
	return best
}

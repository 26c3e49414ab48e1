package ownership

import (
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownershipevent"
	"redwingsill/core/reshard"
)

// serversPerMove is how many backend servers of a service there are for each of its ranges that may move at the same time.
const serversPerMove = 16

// maxRatesAge is the age up to which the rates of keys are used to plan moves for waiting requests. Reading the rates of
// thousands of keys takes milliseconds.
const maxRatesAge = 150 * time.Millisecond

// withPlannedMoves starts the moves that reshard plans: all of them at each BalanceInterval, and in between, at each
// WaitingInterval, only those for orphaned ranges and waiting requests.
func (o Ownership) withPlannedMoves(q Queues, now time.Time) Ownership {
	isBalancing := now.Sub(o.balancedAt) >= o.timing.BalanceInterval
	if !isBalancing && (now.Sub(o.plannedAt) < o.timing.WaitingInterval || q.Waiting() == 0 && !o.hasOrphans()) {
		return o
	}
	limit := o.maxMoves() + o.coldMoves(now)
	if len(o.moves) >= limit && !o.hasOrphans() {
		return o
	}
	if o.mayInheritedGrantArrive(now) && len(o.keys.Gaps()) == 0 {
		return o
	}
	o.plannedAt = now
	if isBalancing {
		o.balancedAt = now
	}
	if isBalancing || now.Sub(o.ratesAt) >= maxRatesAge {
		o.rates, o.ratesAt = q.KeyLoad().Rates(now), now
	}
	capacities := map[string]float64{}
	for incarnation := range o.members {
		if o.canOwn(incarnation) {
			capacities[incarnation] = o.capacityOf(incarnation)
		}
	}
	targets := make([]holding.Holding, 0, len(o.moves))
	for r, m := range o.moves {
		targets = append(targets, holding.Holding{Range: r, Owner: m.to, Fence: m.toFence})
	}
	keys := o.keys.WithAll(targets)
	maxMoves := limit - len(o.moves)
	if len(keys.Holdings()) == 0 || len(keys.Gaps()) > 0 {
		maxMoves = max(maxMoves, len(capacities))
	}
	planner := reshard.New(keys, capacities, o.rates, q.OwnerLoads(now), q.MeanServiceTime()).WithRecentlyMoved(o.recentlyMoved(now))
	for _, planned := range o.withoutLaterEvacuations(planner.Moves(max(0, maxMoves), isBalancing), now) {
		if len(o.moves) >= limit && !o.isOrphan(planned.Range) {
			break
		}
		for _, r := range o.movableParts(planned.Range) {
			o = o.withNewMove(r, planned.Owner, now)
		}
	}
	return o
}

// maxMoves returns how many ranges may move at the same time. It grows with the servers, since more of them become overloaded
// or are lost at the same time.
func (o Ownership) maxMoves() int { return max(o.timing.MaxMoves, len(o.members)/serversPerMove) }

// recentlyMoved returns the ranges that their owners got less than MoveCooldown ago.
func (o Ownership) recentlyMoved(now time.Time) []keyrange.Range {
	var ranges []keyrange.Range
	for r, g := range o.renewals {
		if now.Sub(g.acquiredAt) < o.timing.MoveCooldown {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// hasOrphans reports whether any key has no owner, or one that is leaving, gone or replaced.
func (o Ownership) hasOrphans() bool {
	for _, h := range o.keys.Holdings() {
		if !o.canOwn(h.Owner) {
			return true
		}
	}
	return len(o.keys.Gaps()) > 0
}

// isOrphan reports whether every key of the range has no owner, or one that is leaving, gone or replaced.
func (o Ownership) isOrphan(r keyrange.Range) bool {
	for _, h := range o.keys.In(r) {
		if o.canOwn(h.Owner) {
			return false
		}
	}
	return true
}

// movableParts returns the parts of a range that are not moving already, split so that each lies in one holding or in a
// gap.
func (o Ownership) movableParts(r keyrange.Range) []keyrange.Range {
	var parts []keyrange.Range
	for _, part := range r.MinusAll(o.movingRanges()) {
		var held []keyrange.Range
		for _, h := range o.keys.In(part) {
			held = append(held, h.Range)
		}
		parts = append(parts, held...)
		parts = append(parts, part.MinusAll(held)...) // the gaps
	}
	return parts
}

// withNewMove starts the move of a range that lies in one holding or in a gap. A gap has no owner that must release it. An
// owner keeps its range while a release would not free it.
func (o Ownership) withNewMove(r keyrange.Range, to string, now time.Time) Ownership {
	held := o.keys.In(r)
	if len(held) == 0 {
		m := move{to: to, stage: freed}
		return o.withMove(r, m).withFreedEvent(r, m, ownershipevent.NoOwner)
	}
	if o.mayInheritedGrantArrive(now) {
		return o
	}
	m := move{to: to, stage: releasing, from: held[0].Owner, fromFence: held[0].Fence}
	m.lateGrant = o.lateGrant(m.from, r, now)
	return o.withMove(r, m)
}

// lateGrant returns why a grant of keys of the range to an incarnation may still take effect after a release: one of an earlier
// coordinator, or one of this coordinator that was lost or is in flight. That of a presumed grant shows only with the release's answer.
func (o Ownership) lateGrant(incarnation string, r keyrange.Range, now time.Time) ownershipevent.LateGrant {
	s := o.servers[incarnation]
	switch {
	case now.Before(o.inheritedUntil):
		return ownershipevent.Inherited
	case now.Before(s.lateUntil):
		return ownershipevent.Unanswered
	case o.isGrantInFlight(incarnation, r):
		return ownershipevent.InFlight
	}
	return ownershipevent.NoLateGrant
}

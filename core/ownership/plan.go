package ownership

import (
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
	"redwingsill/core/reshard"
)

// planned returns the state with the moves that the map and the load call for.
func (o Ownership) planned(q Queues, now time.Time) Ownership {
	balances := now.Sub(o.balancedAt) >= o.terms.Plan
	if !balances && (now.Sub(o.plannedAt) < o.terms.Look || q.Waiting() == 0 && !o.hasOrphans()) {
		return o
	}
	o.plannedAt = now
	if balances {
		o.balancedAt = now
	}
	capacities := map[string]float64{}
	for name, m := range o.members {
		if m.IsLeaving {
			continue
		}
		capacity := float64(max(1, m.Slots))
		if c, ok := o.capacities[name]; ok {
			capacity = c
		}
		capacities[name] = capacity
	}
	keys := o.keys
	for r, m := range o.moves {
		keys = keys.With(holding.Holding{Range: r, Owner: m.to, Fence: m.next})
	}
	room := o.terms.MostMoves - len(o.moves)
	if len(keys.Holdings()) == 0 || len(keys.Gaps()) > 0 {
		room = max(room, len(capacities))
	}
	for _, wanted := range reshard.New(keys, capacities, q.KeyLoad().Rates(now), q.OwnerLoads(now), q.MeanServiceTime()).WithSettling(o.settling(now)).Moves(max(0, room), balances) {
		if len(o.moves) >= o.terms.MostMoves && !o.isOrphan(wanted.Range) {
			break
		}
		for _, r := range o.settledParts(wanted.Range) {
			o = o.withNewMove(r, wanted.Owner, now)
		}
	}
	return o
}

// settling returns the ranges that have moved just now.
func (o Ownership) settling(now time.Time) []keyrange.Range {
	var all []keyrange.Range
	for r, g := range o.renewals {
		if now.Sub(g.movedAt) < o.terms.Stay {
			all = append(all, r)
		}
	}
	return all
}

// hasOrphans reports whether keys have no owner that may keep them.
func (o Ownership) hasOrphans() bool {
	for _, h := range o.keys.Holdings() {
		if m, ok := o.members[h.Owner]; !ok || m.IsLeaving {
			return true
		}
	}
	return len(o.keys.Gaps()) > 0
}

// isOrphan reports whether the range has no owner that may keep it.
func (o Ownership) isOrphan(r keyrange.Range) bool {
	for _, h := range o.keys.In(r) {
		if m, ok := o.members[h.Owner]; ok && !m.IsLeaving {
			return false
		}
	}
	return true
}

// settledParts returns the parts of a range that are not moving, cut so that each has one holding or none.
func (o Ownership) settledParts(r keyrange.Range) []keyrange.Range {
	var parts []keyrange.Range
	for _, part := range o.still(r) {
		for _, h := range o.keys.In(part) {
			parts = append(parts, h.Range)
		}
		for _, gap := range o.keys.Gaps() {
			if both, ok := gap.Intersect(part); ok {
				parts = append(parts, both)
			}
		}
	}
	return parts
}

func (o Ownership) withNewMove(r keyrange.Range, to string, now time.Time) Ownership {
	held := o.keys.In(r)
	if len(held) == 0 {
		return o.withMove(r, move{to: to, stage: freed})
	}
	m := move{to: to, stage: releasing, from: held[0].Owner, fence: held[0].Fence}
	m.isLateGrantPossible = o.mayBeGrantedLate(m.from, now)
	return o.withMove(r, m)
}

// withTarget keeps the new owner one that is there: another is chosen where it has left meanwhile.
func (o Ownership) withTarget(r keyrange.Range, m move) Ownership {
	if target, ok := o.members[m.to]; m.stage != freed || ok && !target.IsLeaving {
		return o
	}
	best := ""
	for name, candidate := range o.members {
		if candidate.IsLeaving {
			continue
		}
		if best == "" || o.keys.Width(name) < o.keys.Width(best) || o.keys.Width(name) == o.keys.Width(best) && name < best {
			best = name
		}
	}
	if best == "" {
		return o
	}
	m.to = best
	return o.withMove(r, m)
}

// mayBeGrantedLate reports whether a grant to a life may still take effect after a release: one of ours that has no
// answer yet or lost it, or one of an earlier coordinator.
func (o Ownership) mayBeGrantedLate(name string, now time.Time) bool {
	l := o.known[name]
	return now.Before(o.inheritedUntil) || now.Before(l.lateUntil) || len(l.open) > 0
}

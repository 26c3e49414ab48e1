package ownership

import (
	"maps"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
	"redwingsill/core/order"
	"redwingsill/core/reshard"
)

// fenceBlock is how many fencing tokens are reserved at once, so that few moves wait for the store.
const fenceBlock = 1 << 20

// WithTick returns the state at now, and what to do: moves that can go on, grants to renew, new moves for requests that
// wait and, from time to time, for the load.
func (o Ownership) WithTick(q Queues, now time.Time) (Ownership, []order.Order) {
	if !o.IsActing(now) {
		return o, nil
	}
	var orders []order.Order
	if now.Before(o.movesUntil) {
		if o.fence+int64(o.terms.MostMoves)*4 > o.reserved && o.save == 0 {
			o, orders = o.withSave(orders, true)
		}
		if !now.Before(o.settledAt) {
			o = o.planned(q, now)
		}
		for _, r := range o.moving() {
			o, orders = o.withProgress(r, orders, now)
		}
		if o.save == 0 && o.isAnyFreed() {
			o, orders = o.withSave(orders, false)
		}
	}
	return o.withRenewals(orders, now)
}

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
	for _, wanted := range reshard.New(keys, capacities, q.Load().Rates(now), q.Pressures(now), q.WorkOf()).WithSettling(o.settling(now)).Moves(max(0, room), balances) {
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

// withProgress takes a move one step on.
func (o Ownership) withProgress(r keyrange.Range, orders []order.Order, now time.Time) (Ownership, []order.Order) {
	m := o.moves[r]
	if m.stage != releasing && m.stage != fencing {
		return o.withTarget(r, m), orders
	}
	l, known := o.instanceOf(m.from)
	switch {
	case l.isOver, !now.Before(o.heldUntil(m.from)):
		m.stage = freed
		return o.withMove(r, m), orders
	case !known, m.grant != 0, m.release != 0, now.Before(m.retryAt):
		return o, orders
	}
	var id int64
	if m.stage == releasing && m.isLateGrantPossible {
		next, fence, ok := o.withFence()
		if !ok {
			return o, orders
		}
		o = next
		m.stage, m.fence, m.isLateGrantPossible = fencing, fence, false
	}
	if o, id = o.withID(); m.stage == fencing {
		m.grant = id
		o = o.withGrant(id, r, m.from, now)
		orders = append(orders, order.Grant{ID: id, To: l.instance, Range: r, Fence: m.fence, Hold: o.terms.Hold})
		return o.withMove(r, m), orders
	}
	m.release = id
	o.releases = maps.Clone(o.releases)
	o.releases[id] = r
	orders = append(orders, order.Release{ID: id, From: l.instance, Range: r, Fence: m.fence})
	return o.withMove(r, m), orders
}

// mayBeGrantedLate reports whether a grant to a life may still take effect after a release: one of ours that has no
// answer yet or lost it, or one of an earlier coordinator.
func (o Ownership) mayBeGrantedLate(name string, now time.Time) bool {
	l := o.known[name]
	return now.Before(o.inheritedUntil) || now.Before(l.lateUntil) || len(l.open) > 0
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

func (o Ownership) isAnyFreed() bool {
	for _, m := range o.moves {
		if _, ok := o.members[m.to]; ok && m.stage == freed {
			return true
		}
	}
	return false
}

// withSave orders the map with all ranges that are free at their new owners to be made durable.
func (o Ownership) withSave(orders []order.Order, reserves bool) (Ownership, []order.Order) {
	keys := o.keys
	var saved []keyrange.Range
	reserved := o.reserved
	if reserves {
		reserved = o.reserved + fenceBlock
	}
	for _, r := range o.moving() {
		m := o.moves[r]
		if _, ok := o.members[m.to]; m.stage != freed || !ok {
			continue
		}
		next, fence, ok := o.withFence()
		if !ok {
			break
		}
		o = next
		m.next, m.stage = fence, saving
		o = o.withMove(r, m)
		keys = keys.WithJoined(holding.Holding{Range: r, Owner: m.to, Fence: fence}, o.moving())
		saved = append(saved, r)
	}
	if len(saved) == 0 && !reserves {
		return o, orders
	}
	o, o.save = o.withID()
	o.saved, o.isReserving = saved, reserves
	return o, append(orders, order.Save{ID: o.save, Keys: keys, Fence: reserved})
}

// withRenewals orders the grants that are due. Ranges that are moving are left out.
func (o Ownership) withRenewals(orders []order.Order, now time.Time) (Ownership, []order.Order) {
	due := make(map[keyrange.Range]renewal, len(o.renewals)+1)
	sent := map[string][]int64{}
	for _, h := range o.keys.Holdings() {
		for _, part := range o.still(h.Range) {
			g, ok := o.renewals[part]
			if !ok || g.owner != h.Owner || g.fence != h.Fence {
				g = o.cut(part, h)
			}
			if to, known := o.members[g.owner]; known && g.isDue(o.terms, now) {
				o, g.id = o.withID()
				g.sentAt, g.isOpen = now, true
				sent[g.owner] = append(sent[g.owner], g.id)
				orders = append(orders, order.Grant{ID: g.id, To: to, Range: part, Fence: g.fence, Hold: o.terms.Hold, Handover: g.handover})
			}
			due[part] = g
		}
	}
	o.renewals = due
	if len(sent) == 0 {
		return o, orders
	}
	o.grants, o.known = maps.Clone(o.grants), maps.Clone(o.known)
	for owner, ids := range sent {
		o.known[owner] = o.known[owner].withOpen(now, ids...)
	}
	for r, g := range due {
		if g.isOpen {
			o.grants[g.id] = grant{owner: g.owner, of: r}
		}
	}
	return o, orders
}

// still returns the parts of a range that are not moving.
func (o Ownership) still(r keyrange.Range) []keyrange.Range {
	parts := []keyrange.Range{r}
	for moving := range o.moves {
		if !moving.Overlaps(r) {
			continue
		}
		var next []keyrange.Range
		for _, part := range parts {
			next = append(next, part.Minus(moving)...)
		}
		parts = next
	}
	return parts
}

// cut returns the renewal of a range that was cut from a larger one of the same grant, or joined from smaller ones. It
// goes on with the time of the whole, so that a cut alone sends nothing early.
func (o Ownership) cut(part keyrange.Range, h holding.Holding) renewal {
	next := renewal{owner: h.Owner, fence: h.Fence, isNew: h.Fence > o.first}
	for r, whole := range o.renewals {
		if whole.owner != h.Owner || whole.fence != h.Fence || !r.Overlaps(part) {
			continue
		}
		next.handover, next.isNew, next.movedAt = whole.handover, whole.isNew, whole.movedAt
		if r.From <= part.From && r.To >= part.To {
			next.sentAt = whole.sentAt
		}
		break
	}
	return next
}

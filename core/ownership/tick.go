package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
)

// WithTick returns the state at now, and what to do: moves that can go on, grants to renew, new moves for requests that
// wait and, from time to time, for the load.
func (o Ownership) WithTick(q Queues, now time.Time) (Ownership, []command.Command) {
	if !o.IsActing(now) {
		return o, nil
	}
	var orders []command.Command
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

// withProgress takes a move one step on.
func (o Ownership) withProgress(r keyrange.Range, orders []command.Command, now time.Time) (Ownership, []command.Command) {
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
		orders = append(orders, command.Grant{ID: id, To: l.instance, Range: r, Fence: m.fence, Hold: o.terms.Hold})
		return o.withMove(r, m), orders
	}
	m.release = id
	o.releases = maps.Clone(o.releases)
	o.releases[id] = r
	orders = append(orders, command.Release{ID: id, From: l.instance, Range: r, Fence: m.fence})
	return o.withMove(r, m), orders
}

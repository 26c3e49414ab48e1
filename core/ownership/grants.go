package ownership

import (
	"maps"
	"time"

	"redwingsill/core/keyrange"
	"redwingsill/core/order"
)

// withGrant returns the state with one more grant under way to a life.
func (o Ownership) withGrant(id int64, r keyrange.Range, owner string, now time.Time) Ownership {
	o.grants = maps.Clone(o.grants)
	o.grants[id] = grant{owner: owner, of: r}
	return o.withLife(owner, o.known[owner].withOpen(id, now))
}

// WithGranted returns the state after a grant has ended.
func (o Ownership) WithGranted(id int64, result order.Result, now time.Time) Ownership {
	g, ok := o.grants[id]
	if !ok {
		return o
	}
	o.grants = maps.Clone(o.grants)
	delete(o.grants, id)
	l := o.known[g.owner].withEnd(id, result)
	if result == order.Lost {
		l.lateUntil = latest(l.lateUntil, now.Add(o.terms.LongestHold()))
	}
	o = o.withLife(g.owner, l)
	if m, ok := o.moves[g.of]; ok && m.grant == id {
		return o.withFenced(g.of, m, result, now)
	}
	if due, ok := o.renewals[g.of]; ok && due.id == id {
		return o.withRenewed(g.of, due, result, now)
	}
	return o
}

func (o Ownership) withRenewed(r keyrange.Range, due renewal, result order.Result, now time.Time) Ownership {
	due.isOpen = false
	switch result {
	case order.Done:
		due.handover = ""
	case order.Lost, order.Unsent, order.Invalid:
		due.sentAt = now.Add(o.terms.Retry - o.terms.Renew)
	case order.Stale:
		// An earlier coordinator had raised the token before it was lost. The owner stays, under a higher one.
		if _, isMoving := o.moves[r]; !isMoving {
			o = o.withMove(r, move{to: due.owner, stage: freed})
		}
	}
	o.renewals = maps.Clone(o.renewals)
	o.renewals[r] = due
	return o
}

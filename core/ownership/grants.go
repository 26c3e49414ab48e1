package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
)

// withGrant returns the state with one more grant under way to a life.
func (o Ownership) withGrant(id int64, r keyrange.Range, owner string, now time.Time) Ownership {
	o.grants = maps.Clone(o.grants)
	o.grants[id] = grant{owner: owner, of: r}
	return o.withLife(owner, o.known[owner].withOpen(o.heldBy(o.terms.Hold, now), id))
}

// WithGranted returns the state after grants have ended. They are taken together, since a coordinator has many.
func (o Ownership) WithGranted(ends []command.End, now time.Time) Ownership {
	o.grants, o.known, o.renewals = maps.Clone(o.grants), maps.Clone(o.known), maps.Clone(o.renewals)
	for _, e := range ends {
		g, ok := o.grants[e.ID]
		if !ok {
			continue
		}
		delete(o.grants, e.ID)
		l := o.known[g.owner].withEnd(e)
		if e.Result == command.Lost {
			l.lateUntil = latest(l.lateUntil, now.Add(o.terms.LongestHold()))
		}
		o.known[g.owner] = l
		if m, ok := o.moves[g.of]; ok && m.grant == e.ID {
			o = o.withFenced(g.of, m, e.Result, now)
		} else if due, ok := o.renewals[g.of]; ok && due.id == e.ID {
			o.renewals[g.of] = due.withEnd(e.Result, o.terms, now)
			// An earlier coordinator had raised the token of some of the keys before it was lost. The owner gives them up and
			// gets them again under a token above that; it may be another one, so it can't be skipped.
			if _, isMoving := o.moves[g.of]; !isMoving && e.Result == command.Stale {
				o = o.withMove(g.of, move{to: due.owner, from: due.owner, fence: due.fence, stage: releasing, isLateGrantPossible: true})
			}
		}
	}
	return o
}

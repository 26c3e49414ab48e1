package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownershipevent"
)

// withPendingGrant returns the state with one more grant call in flight to an incarnation of a backend server.
func (o Ownership) withPendingGrant(id int64, r keyrange.Range, fence int64, owner string, now time.Time) Ownership {
	o.pendingGrants = maps.Clone(o.pendingGrants)
	o.pendingGrants[id] = pendingGrant{owner: owner, keyRange: r, fence: fence, address: o.servers[owner].instance.Address}
	return o.withServer(owner, o.servers[owner].withPending(o.latestExpiry(o.holdTimeOf(owner, o.timing.HoldTime, now), now), id))
}

// isGrantInFlight reports whether a grant of any key of the range to an incarnation has no result yet.
func (o Ownership) isGrantInFlight(owner string, r keyrange.Range) bool {
	for _, g := range o.pendingGrants {
		if g.owner == owner && g.keyRange.Overlaps(r) {
			return true
		}
	}
	return false
}

// WithGrantResults applies the results of grant calls. It takes a batch, so that the state's maps are copied once for
// many results.
func (o Ownership) WithGrantResults(completions []command.Completion, now time.Time) Ownership {
	o.pendingGrants, o.servers, o.renewals = maps.Clone(o.pendingGrants), maps.Clone(o.servers), maps.Clone(o.renewals)
	for _, c := range completions {
		g, ok := o.pendingGrants[c.ID]
		if !ok {
			continue
		}
		delete(o.pendingGrants, c.ID)
		o = o.withEndedEvent(g.owner, c.Result, g.address)
		s := o.servers[g.owner].withAnswer(g, c, now).withCompletion(c.ID, c.Result, g.address)
		if c.Result == command.Lost {
			s.lateUntil = latest(s.lateUntil, now.Add(o.timing.LongestHold()))
		}
		o.servers[g.owner] = s
		if m, ok := o.moves[g.keyRange]; ok && m.grantID == c.ID {
			o = o.withFencingResult(g.keyRange, m, c.Result, now)
		} else if r, ok := o.renewals[g.keyRange]; ok && r.id == c.ID {
			if r.isUnacknowledged && c.Result == command.Done {
				o = o.withEvent(ownershipevent.RangeAcquired{Range: g.keyRange, Owner: r.owner, PreviousOwner: r.previousOwner, Fence: r.fence})
			}
			answered := r.withCompletion(c, o.timing, now)
			o.renewals[g.keyRange] = &answered
			// Stale here means that an earlier coordinator raised the token for some of these keys before it failed.
			// The keys are released and granted again under a higher token. The release can't be skipped, since the new
			// owner may be another server.
			// While grants of that coordinator can arrive, the move could not go on, and the owner would get no requests for them.
			if _, isMoving := o.moves[g.keyRange]; !isMoving && c.Result == command.Stale && !o.mayInheritedGrantArrive(now) {
				o = o.withMove(g.keyRange, move{to: r.owner, from: r.owner, fromFence: r.fence, stage: releasing, lateGrant: ownershipevent.Superseded})
			}
		}
	}
	return o
}

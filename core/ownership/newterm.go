package ownership

import (
	"maps"
	"time"

	"redwingsill/core/ownershipevent"
)

// WithNewTerm returns the state for another term of its coordinator, which was elected again no later than now. The owners
// in the store are unchanged, but a coordinator between the two terms may have renewed the grants, so they count as
// inherited, and releases answered or in flight don't count. A write of owners in flight fails. The lease is that of the
// last term until WithLease.
func (o Ownership) WithNewTerm(now time.Time) Ownership {
	o = o.withInheritedGrants(now)
	o.pendingReleases = map[int64]pendingRelease{}
	o.moves = maps.Clone(o.moves)
	for r, m := range o.moves {
		if m.from == "" || m.stage == saving {
			continue
		}
		m.isReleaseLost = m.isReleaseLost || m.releaseID != 0
		m.stage, m.releaseID, m.lateGrant = releasing, 0, ownershipevent.Inherited
		if m.grantID != 0 {
			m.stage = fencing
		}
		o.moves[r] = m
	}
	return o
}

// withInheritedGrants returns the state with any grants that an earlier coordinator may have sent before now or still sends.
func (o Ownership) withInheritedGrants(now time.Time) Ownership {
	o.startedAt = now
	o.inheritedArrivalsUntil = now.Add(o.timing.LeaseDuration + o.timing.UnreachableRenewGrace + o.timing.CallTimeout)
	o.inheritedUntil = o.inheritedArrivalsUntil.Add(o.timing.LongestHold())
	return o
}

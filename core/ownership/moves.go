package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownershipevent"
)

// withFencingResult advances a move after the call that grants the old owner its range under a higher token.
func (o Ownership) withFencingResult(r keyrange.Range, m move, result command.Result, now time.Time) Ownership {
	m.grantID = 0
	switch result {
	case command.Done:
		m.stage = releasing
	case command.Stale, command.Lost:
		// Retry with a higher token: a lost grant could still take effect after a later one with the same token.
		m.stage, m.lateGrant, m.isFencingLost = releasing, ownershipevent.Unanswered, result == command.Lost
		if result == command.Stale {
			m.lateGrant = ownershipevent.Superseded
		}
		m.retryAt = now.Add(o.timing.RetryDelay)
	case command.Unsent, command.Invalid, command.Replaced:
		m.retryAt = now.Add(o.timing.RetryDelay)
	}
	return o.withMove(r, m)
}

// WithReleaseResult applies the answer to a release call, whose handover is the state that the old owner passes to the new one.
func (o Ownership) WithReleaseResult(id int64, a command.Answer, now time.Time) Ownership {
	call, ok := o.pendingReleases[id]
	if !ok {
		return o
	}
	o.pendingReleases = maps.Clone(o.pendingReleases)
	delete(o.pendingReleases, id)
	r := call.keyRange
	m, ok := o.moves[r]
	if !ok || m.releaseID != id {
		return o
	}
	m.releaseID = 0
	o = o.withEndedEvent(m.from, a.Result, call.address)
	s := o.servers[m.from].withCompletion(id, a.Result, call.address)
	if a.Result == command.Done {
		s = s.withSettled(a.Proof)
	}
	o = o.withServer(m.from, s)
	m.isReleaseLost = m.isReleaseLost || a.Result == command.Lost
	if a.Result != command.Done || m.stage != releasing {
		m.retryAt = now.Add(o.timing.RetryDelay)
		return o.withMove(r, m)
	}
	m.isFencingLost = false
	if a.Handover != "" {
		m.handover = a.Handover
	}
	switch {
	case o.isGrantInFlight(m.from, r):
		// The grant may reach a later incarnation with the same ID and address, which has seen no tokens.
		m.lateGrant = ownershipevent.InFlight
		m.retryAt = now.Add(o.timing.RetryDelay)
	case m.lateGrant == ownershipevent.NoLateGrant && s.mayTakePresumed(r, now):
		m.lateGrant = ownershipevent.Presumed
	case m.lateGrant == ownershipevent.NoLateGrant:
		m.stage = freed
		o = o.withFreedEvent(r, m, ownershipevent.Released)
	}
	return o.withMove(r, m)
}

// WithSaveResult applies the result of writing a map to the store. Any result but Done deposes the coordinator for
// good.
func (o Ownership) WithSaveResult(save command.Save, result command.Result, now time.Time) Ownership {
	if save.ID != o.pendingSave {
		return o
	}
	o.pendingSave = 0
	if result != command.Done {
		o.isDeposed = true
		return o
	}
	o.keys, o.mapState = save.Keys, mapCurrent
	if o.isReservingFences {
		o.reservedFence = save.ReservedFence
	}
	o.moves, o.renewals = maps.Clone(o.moves), maps.Clone(o.renewals)
	for _, r := range o.savingRanges {
		m := o.moves[r]
		delete(o.moves, r)
		o.renewals[r] = &renewal{owner: m.to, previousOwner: m.from, fence: m.toFence, handover: m.handover, acquiredAt: now, isUnacknowledged: true}
	}
	o.savingRanges = nil
	return o
}

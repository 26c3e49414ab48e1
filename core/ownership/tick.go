package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownershipevent"
)

// WithTick returns the state at now and the commands to carry out: the next steps of moves, grants that are due, and
// new moves for orphaned ranges, waiting requests and, at each BalanceInterval, the load.
func (o Ownership) WithTick(q Queues, now time.Time) (Ownership, []command.Command) {
	if !o.IsActing(now) {
		return o, nil
	}
	var commands []command.Command
	switch {
	case o.mapState == mapOlder:
		return o.withOlderMap(now)
	case !now.Before(o.movesUntil) || o.mapState == mapLost:
	case o.mapState == mapUnwritten:
		if o.pendingSave == 0 {
			o, commands = o.withWholeMap(o.keys, o.reservedFence+fenceBlock)
		}
	default:
		// Tokens are reserved before they run out, so that moves don't wait for the write.
		if o.lastFence+int64(o.maxMoves())*spareFencesPerMove > o.reservedFence && o.pendingSave == 0 {
			o, commands = o.withSave(commands, true)
		}
		if !now.Before(o.settledAt) {
			o = o.withPlannedMoves(q, now)
		}
		if len(o.moves) > 0 { // one copy for all steps
			o.moves, o.pendingReleases = maps.Clone(o.moves), maps.Clone(o.pendingReleases)
		}
		for _, r := range o.movingRanges() {
			o, commands = o.withNextStep(r, commands, now)
		}
		if o.pendingSave == 0 && o.hasFreedRanges() {
			o, commands = o.withSave(commands, false)
		}
	}
	return o.withRenewals(commands, now)
}

// withNextStep advances the move of a range by one step. It changes the maps of moves and of pending releases in place; the
// caller has copied them.
func (o Ownership) withNextStep(r keyrange.Range, commands []command.Command, now time.Time) (Ownership, []command.Command) {
	m := o.moves[r]
	if m.stage != releasing && m.stage != fencing {
		return o.withAvailableTarget(r, m), commands
	}
	s, known := o.serverOf(m.from)
	switch {
	case !now.Before(o.mayHoldUntil(m.from)), s.hasEnded() && !o.mayInheritedGrantArrive(now) && !o.isGrantInFlight(m.from, r):
		m.stage = freed
		o.moves[r] = m
		return o.withFreedEvent(r, m, o.unreleasedReason(m, now)), commands
	case !known, s.hasEnded(), o.mayInheritedGrantArrive(now), m.grantID != 0, m.releaseID != 0, now.Before(m.retryAt), !o.maySendGrants(now):
		return o, commands
	}
	if o.isShutOff(m.from, now) {
		return o, commands // the range is freed when the owner's grants have expired
	}
	var id int64
	// Each lost grant extends the time until which a silent server may hold its keys. After one, it is asked for a release
	// first.
	fencingHoldTime, mayFence := o.grantHoldTime(s.instance, o.timing.HoldTime, now)
	if !mayFence && (m.stage == fencing || m.lateGrant != ownershipevent.NoLateGrant && !m.isFencingLost) {
		return o, commands
	}
	if m.stage == releasing && m.lateGrant != ownershipevent.NoLateGrant && !m.isFencingLost {
		next, fence, ok := o.withNextFence()
		if !ok {
			return o, commands
		}
		o = next.withEvent(ownershipevent.RangeFenced{Range: r, Owner: m.from, Fence: fence, Reason: m.lateGrant})
		m.stage, m.fromFence, m.lateGrant = fencing, fence, ownershipevent.NoLateGrant
	}
	if o, id = o.withNextID(); m.stage == fencing {
		m.grantID = id
		o = o.withPendingGrant(id, r, m.fromFence, m.from, now)
		commands = append(commands, command.Grant{ID: id, To: s.instance, Range: r, Fence: m.fromFence, HoldTime: fencingHoldTime, IsFencing: true})
		o.moves[r] = m
		return o, commands
	}
	m.releaseID = id
	o.pendingReleases[id] = pendingRelease{keyRange: r, address: s.instance.Address}
	commands = append(commands, command.Release{ID: id, From: s.instance, Range: r, Fence: m.fromFence, Connection: s.connectionOf(r),
		NeedsNewConnection: m.isReleaseLost})
	o.moves[r] = m
	return o, commands
}

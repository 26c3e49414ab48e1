package leader

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/termrecord"
)

// handleReport records a member's report and answers it with a heartbeat. It ignores a report that answers a round
// whose send time is no longer kept, and one that is older than the newest report received from the member.
func (l Leader) handleReport(r message.Report, now time.Time) (Leader, []effect.Effect) {
	p := l.members[r.Member]
	sentAt, isTracked := l.roundSentAt[r.Round]
	if !isTracked || r.Incarnation < p.report.Incarnation || r.Incarnation == p.report.Incarnation && r.SentAt.Before(p.report.SentAt) {
		return l, nil
	}
	p.report, p.reportedAt = r, now
	if sentAt.After(p.followedAt) {
		p.followedAt = sentAt
	}
	l.members = maps.Clone(l.members)
	l.members[r.Member] = p
	if r.IsLeaving && !l.leaving[r.Member] {
		l.leaving = maps.Clone(l.leaving)
		if l.leaving == nil {
			l.leaving = map[string]bool{}
		}
		l.leaving[r.Member] = true
		l.mustBroadcast = true
	}
	for _, held := range r.Leases {
		l = l.withReportedLease(r.Member, r.Incarnation, held, sentAt, now)
	}
	l = l.withReleased(r, now)
	if r.HasLeases {
		l = l.withMissingLeases(r)
	}
	l = l.withUpdatedView()
	return l.sendHeartbeat(r.Member, now)
}

// sendHeartbeat sends a member a heartbeat of a new round. The heartbeat contains each part of the shared state that is
// outdated in the member's newest report.
func (l Leader) sendHeartbeat(to string, now time.Time) (Leader, []effect.Effect) {
	l.round++
	l.roundSentAt = maps.Clone(l.roundSentAt)
	l.roundSentAt[l.round] = now
	delete(l.roundSentAt, l.round-maxTrackedRounds)
	p := l.members[to]
	own := l.versions()
	hb := message.Heartbeat{Term: l.term, Leader: l.name, Incarnation: l.incarnation, Round: l.round, Echo: p.report.SentAt,
		WantsReport: l.wantsReports, Versions: own}
	if p.report.Versions.MembersDigest != own.MembersDigest {
		hb.Quorums, hb.Successors = l.quorums, l.successors()
	}
	if p.report.Versions.Configuration < own.Configuration {
		hb.Configuration = &l.configuration
	}
	if p.report.Versions.HasOlderAssignment(own) {
		hb.Assignment = &l.assignment
	}
	if p.report.Versions.HasOlderView(own) {
		hb.View = &l.view
	}
	l, hb = l.withRenewal(hb, to, now)
	for _, id := range slices.Sorted(maps.Keys(l.releases)) {
		if pending := l.releases[id]; pending.host == to && !pending.isDone {
			hb.Releases = append(hb.Releases, pending.release)
		}
	}
	p.heartbeatAt = now
	l.members = maps.Clone(l.members)
	l.members[to] = p
	return l, []effect.Effect{effect.Send{To: to, Message: hb}}
}

// withRenewal adds the renewal of the member's leases to a heartbeat: one validity for all leases if the lease digest
// in the member's report agrees, otherwise the list of leases and a request for the member's own list.
func (l Leader) withRenewal(hb message.Heartbeat, to string, now time.Time) (Leader, message.Heartbeat) {
	l, renewed := l.renewLeases(to, now)
	hb.LeaseDigest = lease.Digest(renewed)
	agrees := hb.LeaseDigest == l.members[to].report.LeaseDigest
	switch {
	case agrees && len(renewed) > 0:
		hb.RenewedValidity = renewed[0].Validity
	case !agrees:
		hb.Leases, hb.WantsLeases = renewed, true
	}
	return l, hb
}

// renewLeases returns the leases to send to a member. They end one lease duration after the latest time at which a
// majority is known to have followed this leader. There are none if that end has passed, if the member is not live or
// has not reported to this leader, or if it has a newer assignment. Leases of earlier leaders get a grant of this term;
// those whose release is pending are left out, as are all missing leases.
func (l Leader) renewLeases(to string, now time.Time) (Leader, []lease.Lease) {
	p := l.members[to]
	end := l.MajoritySince(now).Add(l.timing.LeaseDuration)
	if p.report.SentAt.IsZero() || !l.isLive(to, now) || !end.After(now) || l.versions().HasOlderAssignment(p.report.Versions) {
		return l, nil
	}
	var sent []lease.Lease
	for _, server := range slices.Sorted(maps.Keys(l.leases)) {
		state := l.leases[server]
		if state.holder != to || state.incarnation != p.report.Incarnation || state.isMissing {
			continue
		}
		if state.firstRound == 0 {
			state.firstRound = l.round
		}
		if state.grant.Term < l.term && l.isReleasingServer(server) {
			continue
		}
		if state.grant.Term < l.term {
			l.generation++
			state.grant.Term, state.grant.Generation = l.term, l.generation
		}
		state.expiry = later(state.expiry, end.Add(l.timing.ClockDrift))
		l = l.withLeaseState(server, state)
		sent = append(sent, lease.Lease{Server: server, Grant: state.grant, Origin: state.origin, Validity: end.Sub(p.reportedAt),
			Idle: l.idleTime(server, state, now)})
	}
	return l, sent
}

// idleTime returns for how long no request for a unit of the server can have run under another lease holder or at
// another server. It is 0 if that is not known.
func (l Leader) idleTime(server string, state leaseState, now time.Time) time.Duration {
	if state.idleSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(later(state.idleSince, l.unitsGainedAt[server])))
}

// broadcast sends heartbeats to all members and configured entry hosts after a change or when reports are wanted at
// once, and at the probe interval to those that do not report.
func (l Leader) broadcast(now time.Time) (Leader, []effect.Effect) {
	var effects []effect.Effect
	for _, name := range l.quorums.WithMembers(l.entryHosts()).Members() {
		p := l.members[name]
		isSilent := now.Sub(p.reportedAt) > l.timing.SilenceTimeout && now.Sub(p.heartbeatAt) >= probeInterval
		if l.mustBroadcast || isSilent {
			var more []effect.Effect
			l, more = l.sendHeartbeat(name, now)
			effects = append(effects, more...)
		}
	}
	l.mustBroadcast, l.wantsReports = false, false
	return l, effects
}

// successors returns the configured entry hosts in the order in which they try to become the leader. Leaving hosts are
// left out, and this leader comes last.
func (l Leader) successors() []string {
	var names []string
	for _, name := range l.entryHosts() {
		if name != l.name && !l.leaving[name] {
			names = append(names, name)
		}
	}
	return append(names, l.name)
}

// lastReservedTerm returns the last term that the term record of this leader reserves. Successors may use the reserved
// terms without the store lease; a leader does not resign because a member has refused a candidate with one of them.
func (l Leader) lastReservedTerm() int64 {
	return l.term - (l.term-1)%termrecord.TermsPerRecord + termrecord.TermsPerRecord - 1
}

// highestRefusedTerm returns the highest term of a candidate that a live member has recently refused, or 0.
func (l Leader) highestRefusedTerm(now time.Time) int64 {
	highest := int64(0)
	for name, p := range l.members {
		if l.isLive(name, now) {
			highest = max(highest, p.report.RefusedTerm)
		}
	}
	return highest
}

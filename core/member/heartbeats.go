package member

import (
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/message"
)

// handleHeartbeat follows the heartbeat's leader, adopts its newer state and leases, and reports if a report is due.
// Heartbeats of an earlier term, or of another leader in the same term, are ignored. A leader that has resigned counts
// as silent at once. A member that abstains adopts the state of a later term but does not follow its leader.
func (m Member) handleHeartbeat(hb message.Heartbeat, now time.Time) (Member, []effect.Effect) {
	isFromLeader := hb.Term == m.term && hb.Leader == m.leader && hb.Incarnation == m.leaderIncarnation
	switch {
	case hb.Term < m.term || hb.Term == m.term && !isFromLeader:
		return m, nil
	case hb.Term > m.term && m.IsAbstaining(now):
		return m.withNewerState(hb), nil
	case hb.HasResigned:
		m.heartbeatAt = now.Add(-m.timing.SilenceTimeout)
		return m, nil
	}
	isNewTerm := hb.Term > m.term
	m.term, m.leader, m.leaderIncarnation = hb.Term, hb.Leader, hb.Incarnation
	m.heartbeatAt, m.roundReceivedAt, m.mustListLeases = now, now, hb.WantsLeases
	if len(hb.Quorums) > 0 {
		m.quorums, m.successors, m.membersDigest = hb.Quorums, hb.Successors, hb.Versions.MembersDigest
	}
	m.round = max(hb.Round, m.round)
	if isNewTerm {
		m.round = hb.Round
	}
	m, effects := m.withNewerState(hb).withRenewedLeases(hb, now)
	for _, r := range hb.Releases {
		if _, isDone := m.releasedAt[r.ID]; !isDone {
			effects = append(effects, effect.NotifyLeaseHolder{Event: event.ReleaseRequested{Release: r}})
		}
	}
	m = m.withoutAcknowledged(hb)
	if hb.WantsReport || now.Sub(m.reportedAt) >= m.timing.HeartbeatInterval {
		var more []effect.Effect
		m, more = m.sendReport(now)
		effects = append(effects, more...)
	}
	return m, effects
}

// withNewerState adopts the configuration, assignment and view of a heartbeat if they are newer.
func (m Member) withNewerState(hb message.Heartbeat) Member {
	if hb.Configuration != nil {
		m = m.WithConfiguration(*hb.Configuration)
	}
	own := m.Versions()
	if hb.Assignment != nil && own.HasOlderAssignment(hb.Versions) {
		m.assignment = *hb.Assignment
	}
	if hb.View != nil && hb.View.IsNewerThan(m.view) {
		m.view = *hb.View
	}
	return m
}

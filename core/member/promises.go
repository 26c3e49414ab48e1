package member

import (
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/message"
)

// handleFollow promises to follow a candidate or refuses. A member refuses while its leader sends heartbeats, and when
// the term is not higher than its own; it repeats its promise to the candidate that it already follows. A member that
// abstains does not answer, except in the first election of a group, before which no promise can have been made. A
// promise in that election ends the abstention.
func (m Member) handleFollow(f message.Follow, now time.Time) (Member, []effect.Effect) {
	if m.IsAbstaining(now) && !f.IsFirstTerm {
		return m, nil
	}
	isFollowed := f.Term == m.term && f.Candidate == m.leader && f.Incarnation == m.leaderIncarnation
	hasLeader := now.Sub(m.heartbeatAt) < m.timing.SilenceTimeout && m.leader != f.Candidate
	reply := message.Followed{Term: f.Term, Echo: f.SentAt, Member: m.name, Incarnation: m.incarnation, HighestTerm: m.term}
	if !isFollowed && (f.Term <= m.term || hasLeader) {
		if f.Term > m.term {
			m.refusedTerm, m.refusedAt = f.Term, now
		}
		return m, []effect.Effect{effect.Send{To: f.Candidate, Message: reply}}
	}
	reply.Accepted, reply.Quorums = true, m.quorums
	if !isFollowed {
		m.leaderSilentSince = later(later(m.roundReceivedAt, m.promisedAt), m.startedAt)
		m.promisedAt = now
	}
	if f.IsFirstTerm {
		m.abstainUntil = m.startedAt
	}
	reply.LeaderSilence = now.Sub(m.leaderSilentSince)
	reply.Leases = m.remainingLeases(now)
	m.term, m.leader, m.leaderIncarnation, m.round = f.Term, f.Candidate, f.Incarnation, 0
	m.mustListLeases = true
	own := m.Versions()
	if own.Configuration > f.Versions.Configuration {
		reply.Configuration = &m.configuration
	}
	if f.Versions.HasOlderAssignment(own) {
		reply.Assignment = &m.assignment
	}
	if f.Versions.HasOlderView(own) {
		reply.View = &m.view
	}
	return m, []effect.Effect{effect.Send{To: f.Candidate, Message: reply}}
}

// IsAbstaining reports whether the member has started or paused too recently to make promises.
func (m Member) IsAbstaining(now time.Time) bool { return now.Before(m.abstainUntil) }

// WithAbstention returns the member with an abstention that starts at now, as after a start: it makes no promises for one
// lease duration plus the clock drift.
func (m Member) WithAbstention(now time.Time) Member {
	m.abstainUntil = now.Add(m.timing.LeaseDuration + m.timing.ClockDrift)
	return m
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

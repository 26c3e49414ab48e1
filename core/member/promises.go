package member

import (
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/message"
)

// follow promises to follow a candidate, or refuses.
func (m Member) follow(f message.Follow, now time.Time) (Member, []effect.Effect) {
	if m.IsSilent(now) && !f.IsFirstTerm {
		return m, nil
	}
	isSame := f.Term == m.term && f.Candidate == m.arbiter && f.Incarnation == m.arbiterIncarnation
	hasArbiter := now.Sub(m.beatAt) < m.timing.Silence && m.arbiter != f.Candidate
	reply := message.Followed{Term: f.Term, Echo: f.SentAt, Member: m.name, Incarnation: m.incarnation, HighestTerm: m.term}
	if !isSame && (f.Term <= m.term || hasArbiter) {
		if f.Term > m.term {
			m.contender, m.contenderAt = f.Term, now
		}
		return m, []effect.Effect{effect.Send{To: f.Candidate, Message: reply}}
	}
	reply.Accepted, reply.Quorums = true, m.quorums
	if !isSame {
		m.quietSince = later(later(m.heardAt, m.promisedAt), m.startedAt)
		m.promisedAt = now
	}
	if f.IsFirstTerm {
		m.silentUntil = m.startedAt
	}
	reply.LeaderSilence = now.Sub(m.quietSince)
	reply.Leases = m.holdings(now)
	m.term, m.arbiter, m.arbiterIncarnation, m.round = f.Term, f.Candidate, f.Incarnation, 0
	m.wantsHoldings = true
	own := m.Stamp()
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

// IsSilent reports whether the member has started too lately to make promises.
func (m Member) IsSilent(now time.Time) bool { return now.Before(m.silentUntil) }

// WithSilence returns the member as if it had just started: without promises that it may have outlived.
func (m Member) WithSilence(now time.Time) Member {
	m.silentUntil = now.Add(m.timing.Permit + m.timing.Drift)
	return m
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

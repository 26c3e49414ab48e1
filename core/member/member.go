// Package member is an entry host's part as a member of its cell: it follows one arbiter, reports to it and holds the
// permits that it is given.
package member

import (
	"maps"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/quorum"
	"redwingsill/core/requestrate"
	"redwingsill/core/timing"
	"redwingsill/core/versions"
	"redwingsill/core/view"
)

// Member is the state of a member. It is immutable.
type Member struct {
	name        string
	incarnation int64
	timing      timing.Timing
	// silentUntil is when promises of an earlier start of this host can no longer matter.
	silentUntil time.Time
	startedAt   time.Time

	configuration configuration.Configuration
	assignment    assignment.Assignment
	view          view.View

	term               int64
	arbiter            string
	arbiterIncarnation int64
	quorums            quorum.Quorums
	successors         []string
	membersDigest      uint64
	wantsHoldings      bool
	beatAt             time.Time
	reportedAt         time.Time
	// heardAt is when the newest round of any arbiter came. What the member has reported since names no later round.
	heardAt time.Time
	// promisedAt is when the member last promised to follow a candidate.
	promisedAt time.Time
	// quietSince is when the newest round of an arbiter before the one it follows came.
	quietSince  time.Time
	round       int64
	contender   int64
	contenderAt time.Time

	permits map[string]lease.Lease
	// gaveUp is the newest grant of each backend server that the host has released.
	gaveUp map[string]grant.Grant
	// released gives the time at which each order of release was done.
	released map[int64]time.Time
	adopted  map[int64]bool
	// handovers are the memories sent to an heir that has not answered yet.
	handovers map[int64]handover
	heats     map[string][]requestrate.RequestRate
	leaving   bool
}

// New returns a member that has just started. It stays silent for the length of a permit.
func New(name string, incarnation int64, t timing.Timing, now time.Time) Member {
	return Member{
		name:        name,
		incarnation: incarnation,
		timing:      t,
		startedAt:   now,
		silentUntil: now.Add(t.Permit + t.Drift),
		permits:     map[string]lease.Lease{},
		gaveUp:      map[string]grant.Grant{},
		released:    map[int64]time.Time{},
		adopted:     map[int64]bool{},
		handovers:   map[int64]handover{},
		heats:       map[string][]requestrate.RequestRate{},
	}
}

// Configuration returns the newest configuration that the member has adopted.
func (m Member) Configuration() configuration.Configuration { return m.configuration }

// Assignment returns the assignment in force.
func (m Member) Assignment() assignment.Assignment { return m.assignment }

// View returns the newest view.
func (m Member) View() view.View { return m.view }

// Term returns the term that the member follows.
func (m Member) Term() int64 { return m.term }

// Arbiter returns the host that the member follows.
func (m Member) Arbiter() string { return m.arbiter }

// Quorums returns the members that must agree on the next arbiter.
func (m Member) Quorums() quorum.Quorums { return m.quorums }

// Successors returns the hosts that may follow the arbiter without the platform.
func (m Member) Successors() []string { return m.successors }

// BeatAt returns when the member last had word from its arbiter.
func (m Member) BeatAt() time.Time { return m.beatAt }

// PromisedAt returns when the member last promised to follow a candidate.
func (m Member) PromisedAt() time.Time { return m.promisedAt }

// Stamp returns the versions that the member holds.
func (m Member) Stamp() versions.Versions {
	return versions.Versions{
		Configuration:     m.configuration.Revision,
		AssignmentTerm:    m.assignment.Term,
		AssignmentVersion: m.assignment.Version,
		ViewTerm:          m.view.Term,
		ViewVersion:       m.view.Version,
		Members:           m.membersDigest,
	}
}

// WithConfiguration returns the member with a configuration, unless its own is as new.
func (m Member) WithConfiguration(c configuration.Configuration) Member {
	if c.Revision > m.configuration.Revision {
		m.configuration = c
	}
	return m
}

// Step returns the member after an event, and what is to be done.
func (m Member) Step(e event.Event, now time.Time) (Member, []effect.Effect) {
	switch e := e.(type) {
	case event.MessageReceived:
		return m.receive(e, now)
	case event.Released:
		m = m.withReleased(e.Release.ID, now)
		if e.Adopted {
			m.adopted = with(m.adopted, e.Release.ID)
		}
		if e.Release.WholeServer {
			m = m.withoutPermit(e.Release)
		}
		return m.report(now)
	case event.RequestRatesMeasured:
		m.heats = maps.Clone(m.heats)
		m.heats[e.Server] = e.RequestRates
	case event.LeaveRequested:
		m.leaving = true
		return m.report(now)
	case event.Ticked:
		return m.tick(now)
	default:
	}
	return m, nil
}

func (m Member) receive(e event.MessageReceived, now time.Time) (Member, []effect.Effect) {
	switch msg := e.Message.(type) {
	case message.Heartbeat:
		return m.heed(msg, now)
	case message.Follow:
		return m.follow(msg, now)
	case message.Adopt:
		return m, []effect.Effect{
			effect.NotifyLeaseHolder{Event: event.DedupEntriesReceived{Adopt: msg}},
			effect.Send{To: msg.From, Message: message.Adopted{ReleaseID: msg.ReleaseID}},
		}
	case message.Adopted:
		if h, ok := m.handovers[msg.ReleaseID]; ok {
			return m.endHandover(h, true)
		}
	default:
	}
	return m, nil
}

// heed takes over an arbiter's word.
func (m Member) heed(b message.Heartbeat, now time.Time) (Member, []effect.Effect) {
	isOwn := b.Term == m.term && b.Leader == m.arbiter && b.Incarnation == m.arbiterIncarnation
	switch {
	case b.Term < m.term || b.Term == m.term && !isOwn:
		return m, nil
	case b.Term > m.term && m.IsSilent(now):
		return m.takeOver(b), nil
	case b.HasResigned:
		m.beatAt = now.Add(-m.timing.Silence)
		return m, nil
	}
	isNew := b.Term > m.term
	m.term, m.arbiter, m.arbiterIncarnation = b.Term, b.Leader, b.Incarnation
	m.beatAt, m.heardAt, m.wantsHoldings = now, now, b.WantsLeases
	if len(b.Quorums) > 0 {
		m.quorums, m.successors, m.membersDigest = b.Quorums, b.Successors, b.Versions.Members
	}
	m.round = max(b.Round, m.round)
	if isNew {
		m.round = b.Round
	}
	m, effects := m.takeOver(b).holdPermits(b, now)
	for _, r := range b.Releases {
		if _, isDone := m.released[r.ID]; !isDone {
			effects = append(effects, effect.NotifyLeaseHolder{Event: event.ReleaseRequested{Release: r}})
		}
	}
	m = m.withoutAnswered(b)
	if b.WantsReport || now.Sub(m.reportedAt) >= m.timing.Beat {
		var more []effect.Effect
		m, more = m.report(now)
		effects = append(effects, more...)
	}
	return m, effects
}

// takeOver adopts newer configurations, assignments and views.
func (m Member) takeOver(b message.Heartbeat) Member {
	if b.Configuration != nil {
		m = m.WithConfiguration(*b.Configuration)
	}
	own := m.Stamp()
	if b.Assignment != nil && own.HasOlderAssignment(b.Versions) {
		m.assignment = *b.Assignment
	}
	if b.View != nil && b.View.Newer(m.view) {
		m.view = *b.View
	}
	return m
}

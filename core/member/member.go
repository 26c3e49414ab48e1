// Package member implements an entry host's role as a member of its group. A member follows one leader, reports to it
// and holds the leases that the leader grants.
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
	name string
	// incarnation identifies the start of the host's process.
	incarnation int64
	timing      timing.Timing
	// abstainUntil is the time until which the member makes no promises, because it may have forgotten those that it
	// made before its start or a pause. By then no leader relies on them any more.
	abstainUntil time.Time
	startedAt    time.Time

	configuration configuration.Configuration
	assignment    assignment.Assignment
	view          view.View

	// term, leader and leaderIncarnation are those of the leader that the member follows, or of the candidate that it has
	// promised to follow.
	term              int64
	leader            string
	leaderIncarnation int64
	quorums           quorum.Quorums
	successors        []string
	// membersDigest is the leader's digest of quorums and successors.
	membersDigest uint64
	// mustListLeases is set while reports have to list the leases: after a promise, and when the leader has asked for
	// them.
	mustListLeases bool
	// heartbeatAt is when the newest heartbeat of any leader was received. It is set back when the leader resigns, so that
	// the leader counts as silent.
	heartbeatAt time.Time
	// reportedAt is when the newest report was sent.
	reportedAt time.Time
	// roundReceivedAt is when the newest heartbeat of any leader was received. Unlike heartbeatAt it is never set back, so
	// that every round that the member has answered was received by then.
	roundReceivedAt time.Time
	// promisedAt is when the member last promised to follow a candidate.
	promisedAt time.Time
	// leaderSilentSince is when the member last received a heartbeat, made a promise or started, before it promised to
	// follow its present leader.
	leaderSilentSince time.Time
	// round is the newest heartbeat round received from the leader that the member follows, or 0.
	round int64
	// refusedTerm is the term of the candidate with a higher term that the member refused last, and refusedAt the time of
	// that refusal.
	refusedTerm int64
	refusedAt   time.Time

	// leases are the leases granted to this host, by server. They may have expired.
	leases map[string]lease.Lease
	// releasedGrants gives the newest grant of each backend server that the host has released.
	releasedGrants map[string]grant.Grant
	// releasedAt gives the time at which each requested release was done, by release ID, until the leader has
	// acknowledged it.
	releasedAt map[int64]time.Time
	// adopted is the set of IDs of the releases whose dedup entries the successor host has received.
	adopted map[int64]bool
	// handovers are the handovers that a successor host has not acknowledged yet, by release ID.
	handovers map[int64]handover
	// requestRates gives the newest request rates of each backend server.
	requestRates map[string][]requestrate.RequestRate
	// isLeaving is set once the host has been asked to drain and stop.
	isLeaving bool
}

// New returns a member that has just started. It makes no promises for one lease duration plus the clock drift.
func New(name string, incarnation int64, t timing.Timing, now time.Time) Member {
	return Member{
		name:           name,
		incarnation:    incarnation,
		timing:         t,
		startedAt:      now,
		abstainUntil:   now.Add(t.LeaseDuration + t.ClockDrift),
		leases:         map[string]lease.Lease{},
		releasedGrants: map[string]grant.Grant{},
		releasedAt:     map[int64]time.Time{},
		adopted:        map[int64]bool{},
		handovers:      map[int64]handover{},
		requestRates:   map[string][]requestrate.RequestRate{},
	}
}

// Configuration returns the newest configuration known to the member.
func (m Member) Configuration() configuration.Configuration { return m.configuration }

// Assignment returns the assignment in force.
func (m Member) Assignment() assignment.Assignment { return m.assignment }

// View returns the newest view.
func (m Member) View() view.View { return m.view }

// Term returns the term of the leader or candidate that the member follows.
func (m Member) Term() int64 { return m.term }

// Leader returns the name of the leader or candidate that the member follows, or "".
func (m Member) Leader() string { return m.leader }

// Quorums returns the sets of members that elect the next leader.
func (m Member) Quorums() quorum.Quorums { return m.quorums }

// Successors returns the hosts that may become the leader without the platform, in order.
func (m Member) Successors() []string { return m.successors }

// HeartbeatAt returns when the member last received a heartbeat from a leader. After the leader has resigned, it is
// earlier, so that the leader counts as silent.
func (m Member) HeartbeatAt() time.Time { return m.heartbeatAt }

// PromisedAt returns when the member last promised to follow a candidate.
func (m Member) PromisedAt() time.Time { return m.promisedAt }

// Versions returns the versions of the shared state that the member holds.
func (m Member) Versions() versions.Versions {
	return versions.Versions{
		Configuration:     m.configuration.Revision,
		AssignmentTerm:    m.assignment.Term,
		AssignmentVersion: m.assignment.Version,
		ViewTerm:          m.view.Term,
		ViewVersion:       m.view.Version,
		MembersDigest:     m.membersDigest,
	}
}

// WithConfiguration returns the member with a configuration if it is newer than the present one.
func (m Member) WithConfiguration(c configuration.Configuration) Member {
	if c.Revision > m.configuration.Revision {
		m.configuration = c
	}
	return m
}

// Step returns the member after an event and the resulting effects.
func (m Member) Step(e event.Event, now time.Time) (Member, []effect.Effect) {
	switch e := e.(type) {
	case event.MessageReceived:
		return m.receive(e, now)
	case event.Released:
		m = m.withReleased(e.Release.ID, now)
		if e.Adopted {
			m.adopted = withID(m.adopted, e.Release.ID)
		}
		if e.Release.WholeServer {
			m = m.withoutLease(e.Release)
		}
		return m.sendReport(now)
	case event.RequestRatesMeasured:
		m.requestRates = maps.Clone(m.requestRates)
		m.requestRates[e.Server] = e.RequestRates
	case event.LeaveRequested:
		m.isLeaving = true
		return m.sendReport(now)
	case event.Ticked:
		return m.tick(now)
	default:
	}
	return m, nil
}

func (m Member) receive(e event.MessageReceived, now time.Time) (Member, []effect.Effect) {
	switch msg := e.Message.(type) {
	case message.Heartbeat:
		return m.handleHeartbeat(msg, now)
	case message.Follow:
		return m.handleFollow(msg, now)
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

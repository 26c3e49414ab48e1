// Package leader is an entry host's part as the arbiter of its cell: it decides which host is the steward of each
// backend server and which server owns each unit.
package leader

import (
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/election"
	"redwingsill/core/event"
	"redwingsill/core/hostentry"
	"redwingsill/core/lease"
	"redwingsill/core/member"
	"redwingsill/core/message"
	"redwingsill/core/quorum"
	"redwingsill/core/timing"
	"redwingsill/core/versions"
	"redwingsill/core/view"
)

// The times between an arbiter's regular calls.
const (
	hostsInterval    = time.Second
	verdictsInterval = 500 * time.Millisecond
	planInterval     = 200 * time.Millisecond
	probeInterval    = time.Second
	maxRounds        = 512
	leavingPatience  = 1500 * time.Millisecond
	refusalRounds    = 8 // rounds after which a member must know of a permit
)

// Leader is the state of the arbiter. It is immutable.
type Leader struct {
	name        string
	dataCentre  string
	incarnation int64
	timing      timing.Timing

	term    int64
	quorums quorum.Quorums
	rounds  map[int64]time.Time
	round   int64
	peers   map[string]peer
	// permitsEnd is when the permits of earlier arbiters have surely ended.
	permitsEnd time.Time

	configuration configuration.Configuration
	assignment    assignment.Assignment
	view          view.View
	down          map[string]bool
	leaving       map[string]bool
	leavingSince  map[string]time.Time
	hosts         map[string]hostentry.HostEntry

	holdings   map[string]holding
	generation int64
	orders     map[int64]order
	orderID    int64
	plan       *plan
	// gainedAt is when units last moved to a backend server. Before that they were run elsewhere.
	gainedAt  map[string]time.Time
	plannedAt time.Time
	movedAt   time.Time

	sequence      int64
	pending       map[int64]purpose
	lease         []byte
	leaseRevision int64
	leaseAt       time.Time
	leaseTriedAt  time.Time
	// votedAt is when the newest renewal was sent that proves that no other host has held the lease since this one took
	// it. It stands for the platform's vote. A lease that was lost and taken again has none.
	votedAt time.Time
	hasVote bool
	// isCreating says that the renewal under way takes a lease that had lapsed, and isLeaseUnsure that one had no answer.
	isCreating    bool
	isLeaseUnsure bool
	// assignmentRevision is the platform's revision of the assignment. It is known once isFenced.
	assignmentRevision int64
	// watched is the platform's revision of the newest configuration that was read, or -1.
	watched    int64
	isRead     bool
	isFenced   bool
	listedAt   time.Time
	heardAt    time.Time
	verdictsAt time.Time
	platformAt time.Time
	retryAt    time.Time
	// changed asks for a beat to all members at once, and urgent for their reports.
	changed  bool
	urgent   bool
	jointAt  time.Time
	resigned bool
}

// New returns the arbiter that a victorious candidate becomes. The member is the same host's.
func New(name, dataCentre string, incarnation int64, t timing.Timing, v election.Result, m member.Member, now time.Time) Leader {
	a := Leader{
		name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t,
		term: v.Term, quorums: v.Quorums, rounds: map[int64]time.Time{0: now}, peers: map[string]peer{},
		permitsEnd:    v.PermitsEnd,
		configuration: m.Configuration(), assignment: m.Assignment(), view: m.View(),
		holdings: map[string]holding{}, orders: map[int64]order{}, orderID: v.Term << 20,
		sequence: now.UnixNano(), pending: map[int64]purpose{}, watched: -1,
		lease: v.Lease, leaseRevision: v.LeaseRevision, leaseAt: now, plannedAt: now, changed: true,
		votedAt: v.LeaseSince, hasVote: v.LeaseRevision != 0,
	}
	for _, f := range v.Followed {
		a = a.withNews(f)
		a.peers[f.Member] = peer{reportedAt: now, followedAt: f.Echo, report: message.Report{Member: f.Member,
			Incarnation: f.Incarnation, Versions: versions.Versions{Configuration: -1, AssignmentTerm: -1, ViewTerm: -1}}}
		for _, p := range f.Leases {
			a = a.withClaim(f.Member, f.Incarnation, p, f.Echo, now)
		}
	}
	a.down, a.leaving, a.hosts = a.view.Down, a.view.Leaving, a.view.Hosts
	a.leavingSince, a.gainedAt = map[string]time.Time{}, map[string]time.Time{}
	return a
}

// Term returns the arbiter's term.
func (a Leader) Term() int64 { return a.term }

// Holder returns the steward of a backend server, or "".
func (a Leader) Holder(server string) string { return a.holdings[server].host }

// HasResigned reports whether the arbiter has stopped for good.
func (a Leader) HasResigned() bool { return a.resigned }

// Since returns the latest time at which a majority is known to have followed the arbiter.
func (a Leader) Since(now time.Time) time.Time {
	return a.quorums.Since(func(name string) time.Time {
		switch name {
		case a.name:
			return now
		case quorum.Platform:
			return a.votedAt
		}
		return a.peers[name].followedAt
	})
}

// Step returns the arbiter after an event, and what is to be done. The member is the same host's.
func (a Leader) Step(e event.Event, m member.Member, now time.Time) (Leader, []effect.Effect) {
	if a.resigned {
		return a, nil
	}
	if m.Term() > a.term || now.Sub(a.Since(now)) > a.timing.Permit {
		return a.resign(now)
	}
	var effects []effect.Effect
	switch e := e.(type) {
	case event.MessageReceived:
		if r, ok := e.Message.(message.Report); ok && r.Term == a.term {
			a, effects = a.take(r, now)
		}
	case event.KeyRead:
		a, effects = a.read(e, now)
	case event.KeyWritten:
		a = a.written(e, now)
	case event.KeyConflicted:
		a = a.conflicted(e.ID, now)
	case event.PlatformFailed:
		a = a.failed(e.ID, now)
	case event.HostsListed:
		a = a.listed(e, now)
	case event.VerdictsReceived:
		a = a.heard(e, now)
	case event.Ticked:
		a, effects = a.tick(now)
	case event.LeaveRequested:
		return a.resign(now)
	default:
	}
	a, more := a.push(now)
	return a, append(effects, more...)
}

// tick does what is due.
func (a Leader) tick(now time.Time) (Leader, []effect.Effect) {
	if c := a.contender(now); c > a.lastReserved() && !a.hasLease(now) {
		return a.resign(now)
	}
	a, effects := a.callPlatform(now)
	a = a.endHoldings(now).dropOrders().appoint(now)
	if now.Sub(a.plannedAt) >= planInterval {
		a = a.level(now).think(now)
		a.plannedAt = now
	}
	a, more := a.advance(now)
	effects = append(effects, more...)
	return a.withView(), effects
}

// resign stops the arbiter for good, gives the lease up and tells the members.
func (a Leader) resign(now time.Time) (Leader, []effect.Effect) {
	var effects []effect.Effect
	for _, name := range a.quorums.Members() {
		if name != a.name && now.Sub(a.peers[name].reportedAt) < a.timing.Silence {
			effects = append(effects, effect.Send{To: name, Message: message.Heartbeat{Term: a.term, Leader: a.name,
				Incarnation: a.incarnation, HasResigned: true}})
		}
	}
	if a.leaseRevision != 0 {
		a.sequence++
		effects = append(effects, effect.WriteKey{ID: a.sequence, Key: a.leaseKey(), ExpectedRevision: a.leaseRevision})
	}
	a.resigned = true
	return a, effects
}

// withClaim takes over a permit that a member holds from an earlier arbiter. The member has said so at some time after
// asked. A claim that may have lapsed meanwhile counts for nothing, since another host may hold the server by now.
func (a Leader) withClaim(host string, incarnation int64, p lease.Lease, asked, now time.Time) Leader {
	if !now.Before(asked.Add(p.Validity - a.timing.Drift)) {
		return a
	}
	h := a.holdings[p.Server]
	server, declared := a.configuration.BackendServers[p.Server]
	if p.Grant.Term >= a.term || !declared || server.DataCentre != a.dataCentre ||
		h.grant.Term == a.term || h.grant.Compare(p.Grant) >= 0 {
		return a
	}
	return a.withHolding(p.Server, holding{host: host, incarnation: incarnation, grant: p.Grant, origin: p.Origin,
		until: a.permitsEnd})
}

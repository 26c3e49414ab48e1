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
	hostListInterval   = time.Second
	verdictsInterval   = 500 * time.Millisecond
	planInterval       = 200 * time.Millisecond
	probeInterval      = time.Second
	maxTrackedRounds   = 512
	drainTimeout       = 1500 * time.Millisecond
	missingLeaseRounds = 8 // rounds after which a member must know of a permit
)

// Leader is the state of the arbiter. It is immutable.
type Leader struct {
	name        string
	dataCentre  string
	incarnation int64
	timing      timing.Timing

	term        int64
	quorums     quorum.Quorums
	roundSentAt map[int64]time.Time
	round       int64
	peers       map[string]peer
	// permitsEnd is when the permits of earlier arbiters have surely ended.
	earlierLeasesEnd time.Time

	configuration configuration.Configuration
	assignment    assignment.Assignment
	view          view.View
	down          map[string]bool
	leaving       map[string]bool
	leavingSince  map[string]time.Time
	hosts         map[string]hostentry.HostEntry

	leases     map[string]leaseState
	generation int64
	releases   map[int64]pendingRelease
	releaseID  int64
	plan       *plan
	// gainedAt is when units last moved to a backend server. Before that they were run elsewhere.
	unitsGainedAt map[string]time.Time
	plannedAt     time.Time
	lastMoveAt    time.Time

	requestID           int64
	pending             map[int64]callPurpose
	storeLease          []byte
	storeLeaseRevision  int64
	storeLeaseRenewedAt time.Time
	storeLeaseTriedAt   time.Time
	// votedAt is when the newest renewal was sent that proves that no other host has held the lease since this one took
	// it. It stands for the platform's vote. A lease that was lost and taken again has none.
	storeVoteAt  time.Time
	hasStoreVote bool
	// isCreating says that the renewal under way takes a lease that had lapsed, and isLeaseUnsure that one had no answer.
	isCreatingStoreLease bool
	isStoreLeaseUnknown  bool
	// assignmentRevision is the platform's revision of the assignment. It is known once isFenced.
	assignmentRevision int64
	// watched is the platform's revision of the newest configuration that was read, or -1.
	configurationRevision int64
	isAssignmentRead      bool
	hasFencedWrites       bool
	hostsRequestedAt      time.Time
	verdictsRequestedAt   time.Time
	verdictsReceivedAt    time.Time
	platformAnsweredAt    time.Time
	platformRetryAt       time.Time
	// changed asks for a beat to all members at once, and urgent for their reports.
	mustBroadcast bool
	wantsReports  bool
	jointSince    time.Time
	resigned      bool
}

// New returns the arbiter that a victorious candidate becomes. The member is the same host's.
func New(name, dataCentre string, incarnation int64, t timing.Timing, elected election.Result, m member.Member, now time.Time) Leader {
	a := Leader{
		name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t,
		term: elected.Term, quorums: elected.Quorums, roundSentAt: map[int64]time.Time{0: now}, peers: map[string]peer{},
		earlierLeasesEnd: elected.EarlierLeasesEnd,
		configuration:    m.Configuration(), assignment: m.Assignment(), view: m.View(),
		leases: map[string]leaseState{}, releases: map[int64]pendingRelease{}, releaseID: elected.Term << 20,
		requestID: now.UnixNano(), pending: map[int64]callPurpose{}, configurationRevision: -1,
		storeLease: elected.StoreLease, storeLeaseRevision: elected.StoreLeaseRevision, storeLeaseRenewedAt: now, plannedAt: now, mustBroadcast: true,
		storeVoteAt: elected.StoreLeaseSentAt, hasStoreVote: elected.StoreLeaseRevision != 0,
	}
	for _, promise := range elected.Promises {
		a = a.withNewerState(promise)
		a.peers[promise.Member] = peer{reportedAt: now, followedAt: promise.Echo, report: message.Report{Member: promise.Member,
			Incarnation: promise.Incarnation, Stamp: versions.Versions{Configuration: -1, AssignmentTerm: -1, ViewTerm: -1}}}
		for _, held := range promise.Holdings {
			a = a.withReportedLease(promise.Member, promise.Incarnation, held, promise.Echo, now)
		}
	}
	a.down, a.leaving, a.hosts = a.view.Down, a.view.Leaving, a.view.Hosts
	a.leavingSince, a.unitsGainedAt = map[string]time.Time{}, map[string]time.Time{}
	return a
}

// Term returns the arbiter's term.
func (l Leader) Term() int64 { return l.term }

// Holder returns the steward of a backend server, or "".
func (l Leader) LeaseHolder(server string) string { return l.leases[server].holder }

// HasResigned reports whether the arbiter has stopped for good.
func (l Leader) HasResigned() bool { return l.resigned }

// Since returns the latest time at which a majority is known to have followed the arbiter.
func (l Leader) MajoritySince(now time.Time) time.Time {
	return l.quorums.MajoritySince(func(name string) time.Time {
		switch name {
		case l.name:
			return now
		case quorum.StoreVote:
			return l.storeVoteAt
		}
		return l.peers[name].followedAt
	})
}

// Step returns the arbiter after an event, and what is to be done. The member is the same host's.
func (l Leader) Step(e event.Event, m member.Member, now time.Time) (Leader, []effect.Effect) {
	if l.resigned {
		return l, nil
	}
	if m.Term() > l.term || now.Sub(l.MajoritySince(now)) > l.timing.LeaseDuration {
		return l.resign(now)
	}
	var effects []effect.Effect
	switch e := e.(type) {
	case event.Received:
		if r, ok := e.Message.(message.Report); ok && r.Term == l.term {
			l, effects = l.handleReport(r, now)
		}
	case event.KeyRead:
		l, effects = l.handleRead(e, now)
	case event.KeyWritten:
		l = l.handleWritten(e, now)
	case event.KeyConflicted:
		l = l.handleConflict(e.ID, now)
	case event.PlatformFailed:
		l = l.handleFailure(e.ID, now)
	case event.HostsListed:
		l = l.withHosts(e, now)
	case event.VerdictsHeard:
		l = l.withVerdicts(e, now)
	case event.Ticked:
		l, effects = l.tick(now)
	case event.LeaveAsked:
		return l.resign(now)
	default:
	}
	l, more := l.broadcast(now)
	return l, append(effects, more...)
}

// tick does what is due.
func (l Leader) tick(now time.Time) (Leader, []effect.Effect) {
	if c := l.highestContender(now); c > l.lastReservedTerm() && !l.hasStoreLease(now) {
		return l.resign(now)
	}
	l, effects := l.callPlatform(now)
	l = l.expireLeases(now).dropStaleReleases().grantLeases(now)
	if now.Sub(l.plannedAt) >= planInterval {
		l = l.requestServerReleases(now).updatePlan(now)
		l.plannedAt = now
	}
	l, more := l.writePlan(now)
	effects = append(effects, more...)
	return l.withUpdatedView(), effects
}

// resign stops the arbiter for good, gives the lease up and tells the members.
func (l Leader) resign(now time.Time) (Leader, []effect.Effect) {
	var effects []effect.Effect
	for _, name := range l.quorums.Members() {
		if name != l.name && now.Sub(l.peers[name].reportedAt) < l.timing.SilenceTimeout {
			effects = append(effects, effect.Send{To: name, Message: message.Heartbeat{Term: l.term, Leader: l.name,
				Incarnation: l.incarnation, Resigned: true}})
		}
	}
	if l.storeLeaseRevision != 0 {
		l.requestID++
		effects = append(effects, effect.WriteKey{ID: l.requestID, Key: l.storeLeaseKey(), Revision: l.storeLeaseRevision})
	}
	l.resigned = true
	return l, effects
}

// withClaim takes over a permit that a member holds from an earlier arbiter. The member has said so at some time after
// asked. A claim that may have lapsed meanwhile counts for nothing, since another host may hold the server by now.
func (l Leader) withReportedLease(host string, incarnation int64, held lease.Lease, askedAt, now time.Time) Leader {
	if !now.Before(askedAt.Add(held.Validity - l.timing.ClockDrift)) {
		return l
	}
	state := l.leases[held.Server]
	server, declared := l.configuration.BackendServers[held.Server]
	if held.Grant.Term >= l.term || !declared || server.DataCentre != l.dataCentre ||
		state.grant.Term == l.term || state.grant.Compare(held.Grant) >= 0 {
		return l
	}
	return l.withLeaseState(held.Server, leaseState{holder: host, incarnation: incarnation, grant: held.Grant, origin: held.Origin,
		expiry: l.earlierLeasesEnd})
}

// Package leader makes the decisions of a group's leader: which entry host holds the lease on each backend server, and
// which server owns each unit.
package leader

import (
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/election"
	"redwingsill/core/event"
	"redwingsill/core/hostentry"
	"redwingsill/core/member"
	"redwingsill/core/message"
	"redwingsill/core/quorum"
	"redwingsill/core/timing"
	"redwingsill/core/versions"
	"redwingsill/core/view"
)

const (
	hostListInterval = time.Second            // between requests for the platform's list of entry hosts and backend servers
	verdictsInterval = 500 * time.Millisecond // between requests for the monitoring system's verdicts
	planInterval     = 200 * time.Millisecond // between decisions on server releases and the plan
	probeInterval    = time.Second            // between heartbeats to a silent member
	// maxTrackedRounds is the number of rounds whose send times are kept.
	maxTrackedRounds = 512
	// releaseIDBits is the number of low bits of a release ID that count the releases of one term.
	releaseIDBits = 20
	// drainTimeout is how long the lease on a leaving backend server is kept while its units are moved.
	drainTimeout = 1500 * time.Millisecond
	// missingLeaseRounds is the number of rounds, counted over all members, after which a member must report a lease that
	// it was sent.
	missingLeaseRounds = 8
)

// Leader is the state of the leader of one group. It is immutable.
type Leader struct {
	name       string
	dataCentre string
	// incarnation identifies the start of the host's process.
	incarnation int64
	timing      timing.Timing

	term    int64
	quorums quorum.Quorums
	// roundSentAt gives the time at which each of the newest heartbeat rounds was sent.
	roundSentAt map[int64]time.Time
	// round is the newest heartbeat round. Each heartbeat to one member is a round of its own.
	round int64
	// members gives the state of each member that has promised or reported to this leader, or was sent a heartbeat. The
	// leader's own host is one of them.
	members map[string]memberState
	// earlierLeasesEnd is the time by which all leases of earlier leaders have expired.
	earlierLeasesEnd time.Time

	configuration configuration.Configuration
	assignment    assignment.Assignment
	view          view.View
	// down is the set of backend servers that the monitoring system has declared down.
	down map[string]bool
	// leaving is the set of hosts and backend servers that are about to stop.
	leaving map[string]bool
	// leavingSince gives the time at which each leaving host or backend server was first listed as leaving.
	leavingSince map[string]time.Time
	// hosts gives the entry hosts of all data centres by name, as listed by the platform.
	hosts map[string]hostentry.HostEntry

	// leases gives the state of the lease on each backend server.
	leases map[string]leaseState
	// generation is the generation of the newest grant.
	generation int64
	// releases are the releases requested of lease holders, by ID. A release of units stays until its plan has been
	// published or dropped.
	releases map[int64]pendingRelease
	// releaseID is the ID of the newest release requested. Its high bits are the term, so that the IDs of different
	// terms do not collide.
	releaseID int64
	// plan is the assignment that is to replace the one in force, or nil.
	plan *plan
	// unitsGainedAt is when units last moved to each backend server. Their earlier requests ran at another server.
	unitsGainedAt map[string]time.Time
	// plannedAt is when server releases and the plan were last decided on.
	plannedAt time.Time
	// lastMoveAt is when this leader last began to move a lease for balance, or started or published a plan.
	lastMoveAt time.Time

	// callID is the ID of the newest platform call. It starts at the time of the election in Unix nanoseconds, so that
	// the calls of the leaders and candidates of one host have different IDs.
	callID int64
	// pending gives the purpose of each platform call that is still unanswered, by call ID.
	pending map[int64]callPurpose
	// storeLease is the value of the store lease that this leader writes.
	storeLease []byte
	// storeLeaseRevision is the revision of the store lease, or 0 while this leader does not hold it.
	storeLeaseRevision int64
	// storeLeaseRenewedAt is when this leader last learned that a write of the store lease had succeeded.
	storeLeaseRenewedAt time.Time
	// storeLeaseSentAt is when the newest renewal of the store lease was sent.
	storeLeaseSentAt time.Time
	// storeVoteAt is when the store last voted for this leader: the send time of the newest renewal that extended the
	// store lease without a gap since this host took it.
	storeVoteAt time.Time
	// hasStoreVote is set while renewals of the store lease count as votes of the store. It is cleared when the store
	// lease is lost and stays cleared when it is taken again.
	hasStoreVote bool
	// isCreatingStoreLease is set if the newest renewal sent creates the store lease because this leader did not hold it.
	isCreatingStoreLease bool
	// isStoreLeaseUnknown is set after a renewal without an answer, until the store lease has been read.
	isStoreLeaseUnknown bool
	// assignmentRevision is the platform's revision of the assignment. It is valid while isAssignmentRead is set.
	assignmentRevision int64
	// configurationRevision is the platform's revision of the newest configuration read, or -1 before the first read.
	configurationRevision int64
	isAssignmentRead      bool
	// hasFencedWrites is set once this leader has written the assignment: the new revision makes pending writes of
	// earlier leaders fail. It is cleared when a newer assignment has been read.
	hasFencedWrites     bool
	hostsRequestedAt    time.Time
	verdictsRequestedAt time.Time
	verdictsReceivedAt  time.Time
	platformAnsweredAt  time.Time
	// platformRetryAt is the earliest time for reads and for writes of the assignment after a platform call has failed.
	platformRetryAt time.Time
	// mustBroadcast requests a heartbeat to all members after the current event.
	mustBroadcast bool
	// wantsReports asks the members to answer the next heartbeats at once.
	wantsReports bool
	// jointSince is when this leader adopted its newest quorums of more than one member set, or zero if it was elected by
	// them.
	jointSince time.Time
	resigned   bool
}

// New returns the leader that an elected candidate becomes. m is the member state of the same host.
func New(name, dataCentre string, incarnation int64, t timing.Timing, elected election.Result, m member.Member,
	now time.Time) Leader {
	l := Leader{
		name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t,
		term: elected.Term, quorums: elected.Quorums, roundSentAt: map[int64]time.Time{0: now}, members: map[string]memberState{},
		earlierLeasesEnd: elected.EarlierLeasesEnd,
		configuration:    m.Configuration(), assignment: m.Assignment(), view: m.View(),
		leases: map[string]leaseState{}, releases: map[int64]pendingRelease{}, releaseID: elected.Term << releaseIDBits,
		callID: now.UnixNano(), pending: map[int64]callPurpose{}, configurationRevision: -1,
		storeLease: elected.StoreLease, storeLeaseRevision: elected.StoreLeaseRevision, storeLeaseRenewedAt: now,
		plannedAt: now, mustBroadcast: true,
		storeVoteAt: elected.StoreLeaseSentAt, hasStoreVote: elected.StoreLeaseRevision != 0,
	}
	for _, promise := range elected.Promises {
		l = l.withNewerState(promise)
		// Until the member reports its versions, -1 makes heartbeats contain the configuration, assignment and view.
		l.members[promise.Member] = memberState{reportedAt: now, followedAt: promise.Echo, report: message.Report{Member: promise.Member,
			Incarnation: promise.Incarnation, Versions: versions.Versions{Configuration: -1, AssignmentTerm: -1, ViewTerm: -1}}}
		for _, held := range promise.Leases {
			l = l.withReportedLease(promise.Member, promise.Incarnation, held, promise.Echo, now)
		}
	}
	l.down, l.leaving, l.hosts = l.view.Down, l.view.Leaving, l.view.Hosts
	l.leavingSince, l.unitsGainedAt = map[string]time.Time{}, map[string]time.Time{}
	return l
}

// Term returns the leader's term.
func (l Leader) Term() int64 { return l.term }

// LeaseHolder returns the entry host that holds the lease on a backend server, or "".
func (l Leader) LeaseHolder(server string) string { return l.leases[server].holder }

// HasResigned reports whether the leader has stopped. A leader that has resigned never resumes.
func (l Leader) HasResigned() bool { return l.resigned }

// Step returns the leader after an event and the resulting effects. m is the member state of the same host. The leader
// resigns when m follows a later term, when no majority has followed the leader for one lease duration, when the host
// is leaving, or for the reason that tick gives.
func (l Leader) Step(e event.Event, m member.Member, now time.Time) (Leader, []effect.Effect) {
	if l.resigned {
		return l, nil
	}
	if m.Term() > l.term || now.Sub(l.MajoritySince(now)) > l.timing.LeaseDuration {
		return l.resign(now)
	}
	var effects []effect.Effect
	switch e := e.(type) {
	case event.MessageReceived:
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
	case event.VerdictsReceived:
		l = l.withVerdicts(e, now)
	case event.Ticked:
		l, effects = l.tick(now)
	case event.LeaveRequested:
		return l.resign(now)
	default:
	}
	l, more := l.broadcast(now)
	return l, append(effects, more...)
}

// tick makes the decisions and calls that are due. A leader without the store lease resigns when a candidate has a term
// beyond those that the leader's term record reserves.
func (l Leader) tick(now time.Time) (Leader, []effect.Effect) {
	if c := l.highestRefusedTerm(now); c > l.lastReservedTerm() && !l.hasStoreLease(now) {
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

// resign stops the leader, deletes the store lease and tells the members that have reported recently.
func (l Leader) resign(now time.Time) (Leader, []effect.Effect) {
	var effects []effect.Effect
	for _, name := range l.quorums.Members() {
		if name != l.name && now.Sub(l.members[name].reportedAt) < l.timing.SilenceTimeout {
			effects = append(effects, effect.Send{To: name, Message: message.Heartbeat{Term: l.term, Leader: l.name,
				Incarnation: l.incarnation, HasResigned: true}})
		}
	}
	if l.storeLeaseRevision != 0 {
		l.callID++
		effects = append(effects, effect.WriteKey{ID: l.callID, Key: l.storeLeaseKey(), ExpectedRevision: l.storeLeaseRevision})
	}
	l.resigned = true
	return l, effects
}

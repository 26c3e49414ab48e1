package leader

import (
	"time"

	"redwingsill/core/grant"
	"redwingsill/core/lease"
)

// leaseState is the leader's knowledge of the lease on one backend server.
type leaseState struct {
	// holder is the entry host that has the lease, or "" if the server is free, and incarnation is that of the host when
	// the lease was granted or reported.
	holder      string
	incarnation int64
	grant       grant.Grant
	// origin is the grant under which the present dedup table of the server began.
	origin grant.Grant
	// expiry is the time by which every lease sent for the server has expired.
	expiry time.Time
	// firstRound is the round in which the lease was first sent to its holder, or 0 if this leader has not sent it.
	firstRound int64
	// isMissing is set if the holder should have received the lease but its reports do not list it.
	isMissing bool
	// idleSince is the time by which the lease of the previous holder had expired or was released, or zero if that is
	// not known.
	idleSince time.Time
	// isReleased is set if the server is free because its holder has released it at this leader's request.
	isReleased bool
	// successor is the host that has received the dedup table of the server from the holder that released it, or "".
	successor string
}

func (s leaseState) isFree() bool { return s.holder == "" }

// withReportedLease adopts a lease of an earlier leader that a member reports or lists in its promise. held.Validity is
// what was left when the member sent the message, which was after askedAt. A lease that may have expired since is
// ignored, because another host may hold the lease on the server by now.
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

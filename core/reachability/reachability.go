// Package reachability tracks how long entry hosts have reached the store, and combines the hosts' records. While the
// store is unreachable for at least two thirds of a set of hosts, the coordinator may renew its grants for longer. Another
// coordinator may still be elected; it waits for earlier grants to expire, and waits less once it knows since when no
// earlier coordinator can have found the store unreachable.
package reachability

import (
	"slices"
	"time"
)

// answerTimeout is the time without an answer after which a host counts as having lost the store. A watch of the store, or a
// request to a host that watches it, is answered sooner even under load.
const answerTimeout = 1800 * time.Millisecond

// Reachability is one host's record of when it reached the store. The zero value is the record of a host that never
// reached it.
type Reachability struct {
	// ReachableSince is the start of the last uninterrupted period in which the host reached the store, and LastAnswer
	// is when the store last answered.
	ReachableSince, LastAnswer time.Time
	// ReportedAt is when a coordinator received the record. What the record says of the store holds for that time.
	ReportedAt time.Time
	// CoordinatorRevision is the store revision at which the newest coordinator known to the host was elected.
	CoordinatorRevision int64
}

// WithCoordinatorRevision records a coordinator, unless a newer one is known.
func (r Reachability) WithCoordinatorRevision(revision int64) Reachability {
	r.CoordinatorRevision = max(r.CoordinatorRevision, revision)
	return r
}

// WithReportedAt returns the record as received at now.
func (r Reachability) WithReportedAt(now time.Time) Reachability {
	r.ReportedAt = now
	return r
}

// WithAnswer records an answer from the store at now.
func (r Reachability) WithAnswer(now time.Time) Reachability {
	if r.IsLost(now) {
		r.ReachableSince = now
	}
	r.LastAnswer = now
	return r
}

// IsLost reports whether the host has had no answer within answerTimeout, or never had one.
func (r Reachability) IsLost(now time.Time) bool {
	return r.LastAnswer.IsZero() || now.Sub(r.LastAnswer) > answerTimeout
}

// wasLost reports whether the host had lost the store when it reported.
func (r Reachability) wasLost() bool { return r.IsLost(r.ReportedAt) }

// IsStoreUnreachable reports, for the coordinator elected at revision, whether the store is unreachable for at least two
// thirds of a set of hosts. The records have the names of their hosts as keys. Hosts that know a newer coordinator or
// never reached the store do not count as having lost it.
func IsStoreUnreachable(records map[string]Reachability, hosts []string, revision int64) bool {
	lost := 0
	for _, name := range hosts {
		if r, ok := records[name]; ok && r.wasLost() && !r.LastAnswer.IsZero() && r.CoordinatorRevision <= revision {
			lost++
		}
	}
	return len(hosts) > 0 && 3*lost >= 2*len(hosts)
}

// StoreReachableSince returns, for the coordinator elected at revision, the time since which an earlier coordinator that
// counts on a set of hosts can't have received, and won't receive, reports by which the store is unreachable. The records
// have the names of their hosts as keys. The result is false if too few hosts of the set reach the store to say. Only
// hosts that know this coordinator count.
func StoreReachableSince(records map[string]Reachability, hosts []string, revision int64) (time.Time, bool) {
	return reachableSince(records, hosts, revision, len(hosts)/3+1) // more than a third has a host in common with two thirds
}

// StoreReachableSinceByMost is as StoreReachableSince, for a set that may differ from the one that the earlier coordinator counts on.
// Up to a quarter of the hosts may be missing there, or half of them additional. The hosts that it needs then have more than a third
// of the other set among them: of n hosts with m missing there, more than m + (n-m)/3.
func StoreReachableSinceByMost(records map[string]Reachability, hosts []string, revision int64) (time.Time, bool) {
	n := len(hosts)
	return reachableSince(records, hosts, revision, (n+2*(n/4))/3+1)
}

// reachableSince returns the time since which the needed number of hosts reach the store without interruption.
func reachableSince(records map[string]Reachability, hosts []string, revision int64, needed int) (time.Time, bool) {
	var since []time.Time
	for _, name := range hosts {
		if r, ok := records[name]; ok && !r.wasLost() && r.CoordinatorRevision >= revision {
			since = append(since, r.ReachableSince)
		}
	}
	if len(hosts) == 0 || len(since) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(since, time.Time.Compare)
	return since[needed-1], true
}

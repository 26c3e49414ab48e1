// Package reachability tracks how long entry hosts have reached the store, and combines the hosts' records. While the
// store is unreachable for at least two thirds of the hosts, the coordinator may renew its grants for longer. Another
// coordinator may still be elected; it waits for earlier grants to expire, and waits less once it knows since when no
// earlier coordinator can have found the store unreachable.
package reachability

import (
	"slices"
	"time"
)

const (
	// answerTimeout is the time without an answer after which a host counts as having lost the store. A watch of the
	// store, or a request to a host that watches it, is answered sooner even under load.
	answerTimeout = 1800 * time.Millisecond
	// unreachableShare is the fraction of all hosts that must have lost the store for it to count as unreachable. While
	// more than reachableShare of the hosts reach the store, no coordinator can find it unreachable: groups of these two
	// sizes have a host in common, even if the numbers of hosts that two coordinators know differ by a sixth.
	unreachableShare = 2.0 / 3
	reachableShare   = 1.0 / 2
)

// Reachability is one host's record of when it reached the store. The zero value is the record of a host that never
// reached it.
type Reachability struct {
	// ReachableSince is the start of the last uninterrupted period in which the host reached the store, and LastAnswer
	// is when the store last answered.
	ReachableSince, LastAnswer time.Time
	// CoordinatorRevision is the store revision at which the newest coordinator known to the host was elected.
	CoordinatorRevision int64
}

// WithCoordinatorRevision records a coordinator, unless a newer one is known.
func (r Reachability) WithCoordinatorRevision(revision int64) Reachability {
	r.CoordinatorRevision = max(r.CoordinatorRevision, revision)
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

// IsStoreUnreachable reports, for the coordinator elected at revision, whether the store is unreachable for at least
// two thirds of the given number of hosts. Hosts that know a newer coordinator or never reached the store do not count
// as having lost it.
func IsStoreUnreachable(records []Reachability, hosts int, revision int64, now time.Time) bool {
	lost := 0
	for _, r := range records {
		if r.IsLost(now) && !r.LastAnswer.IsZero() && r.CoordinatorRevision <= revision {
			lost++
		}
	}
	return hosts > 0 && float64(lost) >= unreachableShare*float64(hosts)
}

// StoreReachableSince returns, for the coordinator elected at revision, the time since which no earlier coordinator can
// have found, or will find, the store unreachable. The result is false if too few hosts reach the store to say. Only
// hosts that know this coordinator count.
func StoreReachableSince(records []Reachability, hosts int, revision int64, now time.Time) (time.Time, bool) {
	var since []time.Time
	for _, r := range records {
		if !r.IsLost(now) && r.CoordinatorRevision >= revision {
			since = append(since, r.ReachableSince)
		}
	}
	needed := int(reachableShare*float64(hosts)) + 1
	if hosts == 0 || len(since) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(since, time.Time.Compare)
	return since[needed-1], true
}

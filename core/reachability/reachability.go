// Package reachability tracks how long entry hosts have been in contact with the store, and combines the hosts'
// records. The coordinator learns whether the store is unreachable for nearly all hosts, so that no successor can be
// elected; a new coordinator learns since when no earlier one can have found that.
package reachability

import (
	"slices"
	"time"
)

const (
	// contactTimeout is the time without an answer after which contact is lost. A watch of the store, or a request to a
	// host that watches it, is answered sooner even under load.
	contactTimeout = 1800 * time.Millisecond
	// unreachableShare is the fraction of all hosts that must have lost contact for the store to be unreachable; with
	// more than reachableShare in contact it can't have been. Any two such groups have a host in common, even if the
	// known hosts differ by a sixth.
	unreachableShare = 2.0 / 3
	reachableShare   = 1.0 / 2
)

// Reachability is one host's record of its contact with the store. The zero value has had no contact.
type Reachability struct {
	// ContactSince is when the current or last period of contact began; LastContact is when the store last answered.
	ContactSince, LastContact time.Time
	// CoordinatorRevision is the store revision at which the newest coordinator known to the host was elected.
	CoordinatorRevision int64
}

// WithCoordinatorRevision records a coordinator, unless a newer one is known.
func (r Reachability) WithCoordinatorRevision(revision int64) Reachability {
	r.CoordinatorRevision = max(r.CoordinatorRevision, revision)
	return r
}

// WithContact records an answer from the store at now.
func (r Reachability) WithContact(now time.Time) Reachability {
	if r.IsLost(now) {
		r.ContactSince = now
	}
	r.LastContact = now
	return r
}

// IsLost reports whether the host has had no answer within the contact timeout, or never had one.
func (r Reachability) IsLost(now time.Time) bool {
	return r.LastContact.IsZero() || now.Sub(r.LastContact) > contactTimeout
}

// IsStoreUnreachable reports, to the coordinator with a revision, whether the store is unreachable for nearly all of
// the given number of hosts. Hosts that know a newer coordinator or never had contact are not counted as cut off.
func IsStoreUnreachable(contacts []Reachability, hosts int, revision int64, now time.Time) bool {
	lost := 0
	for _, r := range contacts {
		if r.IsLost(now) && !r.LastContact.IsZero() && r.CoordinatorRevision <= revision {
			lost++
		}
	}
	return hosts > 0 && float64(lost) >= unreachableShare*float64(hosts)
}

// StoreReachableSince returns, to the coordinator with a revision, the time since when no earlier coordinator can have
// found the store unreachable or will find it so, and whether enough hosts are in contact to say. Only hosts that know
// this coordinator count.
func StoreReachableSince(contacts []Reachability, hosts int, revision int64, now time.Time) (time.Time, bool) {
	var since []time.Time
	for _, r := range contacts {
		if !r.IsLost(now) && r.CoordinatorRevision >= revision {
			since = append(since, r.ContactSince)
		}
	}
	needed := int(reachableShare*float64(hosts)) + 1
	if hosts == 0 || len(since) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(since, time.Time.Compare)
	return since[needed-1], true
}

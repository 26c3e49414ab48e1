// Package reachability tells since when an entry host has heard from the store without a break, and what that says of many hosts
// together: to a coordinator, whether the store is away for nearly all, so that it has no successor, and to a new one, since
// when no earlier coordinator can have found that.
package reachability

import (
	"slices"
	"time"
)

const (
	// breakAfter is how long without a word a host's contact is broken. A watch of the store, or a question to a host that
	// watches it, is answered sooner, also on a slow day.
	breakAfter = 1800 * time.Millisecond
	// awayPart is the part of all hosts whose contact must be broken for the store to count as away, and soundPart the part
	// with contact from which on it can't have been away. Any two such groups have a host in common, even where the hosts
	// that are known differ by a sixth.
	awayPart  = 2.0 / 3
	soundPart = 1.0 / 2
)

// Reachability is one host's contact with the store. The zero value has had none.
type Reachability struct {
	// Since is when the host heard from the store first after the last break, and Last when it heard from it last.
	Since, Last time.Time
	// Coordinator is the revision of the newest coordinator that the host has heard of.
	Coordinator int64
}

// WithCoordinator returns the contact of a host that has heard of a coordinator.
func (c Reachability) WithCoordinator(revision int64) Reachability {
	c.Coordinator = max(c.Coordinator, revision)
	return c
}

// With returns the contact after a word from the store.
func (c Reachability) With(now time.Time) Reachability {
	if c.IsBroken(now) {
		c.Since = now
	}
	c.Last = now
	return c
}

// IsBroken reports whether the host has heard nothing for too long.
func (c Reachability) IsBroken(now time.Time) bool {
	return c.Last.IsZero() || now.Sub(c.Last) > breakAfter
}

// IsAway reports to the coordinator of a revision whether the store is away for nearly all of so many hosts, by the contacts of
// those that tell theirs. Hosts that have heard of a newer coordinator, or never from the store, do not count.
func IsAway(contacts []Reachability, hosts int, coordinator int64, now time.Time) bool {
	broken := 0
	for _, c := range contacts {
		if c.IsBroken(now) && !c.Last.IsZero() && c.Coordinator <= coordinator {
			broken++
		}
	}
	return hosts > 0 && float64(broken) >= awayPart*float64(hosts)
}

// SoundSince returns to the coordinator of a revision since when no earlier one can have found that the store was away, and
// none will, and whether anything is known of it. It counts hosts that have heard of this coordinator.
func SoundSince(contacts []Reachability, hosts int, coordinator int64, now time.Time) (time.Time, bool) {
	var sound []time.Time
	for _, c := range contacts {
		if !c.IsBroken(now) && c.Coordinator >= coordinator {
			sound = append(sound, c.Since)
		}
	}
	needed := int(soundPart*float64(hosts)) + 1
	if hosts == 0 || len(sound) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(sound, time.Time.Compare)
	return sound[needed-1], true
}

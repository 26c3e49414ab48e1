// Package contact tells since when an entry host has heard from the store without a break, and what that says of many hosts
// together: whether the store is away for nearly all, and since when it can't have been.
package contact

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

// Contact is one host's contact with the store. The zero value has had none.
type Contact struct {
	// Since is when the host heard from the store first after the last break, and Last when it heard from it last.
	Since, Last time.Time
}

// With returns the contact after a word from the store.
func (c Contact) With(now time.Time) Contact {
	if c.IsBroken(now) {
		c.Since = now
	}
	c.Last = now
	return c
}

// IsBroken reports whether the host has heard nothing for too long.
func (c Contact) IsBroken(now time.Time) bool { return c.Last.IsZero() || now.Sub(c.Last) > breakAfter }

// IsAway reports whether the store is away for nearly all of so many hosts, by the contacts of those that tell theirs.
func IsAway(contacts []Contact, hosts int, now time.Time) bool {
	broken := 0
	for _, c := range contacts {
		if c.IsBroken(now) {
			broken++
		}
	}
	return hosts > 0 && float64(broken) >= awayPart*float64(hosts)
}

// SoundSince returns since when the store can't have been away in the sense of [IsAway], and whether anything is known of it.
func SoundSince(contacts []Contact, hosts int, now time.Time) (time.Time, bool) {
	var sound []time.Time
	for _, c := range contacts {
		if !c.IsBroken(now) {
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

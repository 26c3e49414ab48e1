package configuration

import (
	"slices"
	"time"
)

// maxChanges bounds the accepted changes that a configuration remembers.
const maxChanges = 200

// change is one accepted change of the configuration.
type change struct {
	ID       string
	Revision int64
	At       time.Time
	By       string
	Summary  []string
}

// Accepted returns the configuration at its next revision, with the accepted change's id, author and summary.
func (c Configuration) Accepted(id, by string, at time.Time, summary []string) Configuration {
	c.Revision++
	kept := c.Changes[max(0, len(c.Changes)-maxChanges+1):]
	c.Changes = append(slices.Clone(kept), change{ID: id, Revision: c.Revision, At: at, By: by, Summary: summary})
	return c
}

// RevisionOf returns the revision that the change with the id made, and whether the change is known.
func (c Configuration) RevisionOf(id string) (int64, bool) {
	for _, ch := range c.Changes {
		if ch.ID == id {
			return ch.Revision, true
		}
	}
	return 0, false
}

// ChangedSince returns what the changes after a revision did, as far as they are remembered.
func (c Configuration) ChangedSince(revision int64) []string {
	var lines []string
	for _, ch := range c.Changes {
		if ch.Revision > revision {
			lines = append(lines, ch.Summary...)
		}
	}
	return lines
}

package configuration

import (
	"slices"
	"time"
)

// maxRetainedChanges is the number of accepted changes that a configuration retains.
const maxRetainedChanges = 200

// change is an accepted change of the configuration.
type change struct {
	ID string
	// Revision is the revision of the configuration that the change produced.
	Revision   int64
	AcceptedAt time.Time `json:"At"`
	// By names the author of the change.
	By string
	// Summary has one line for each changed resource, as [Configuration.Diff] returns them.
	Summary []string
}

// WithAcceptedChange returns the configuration at its next revision, with the accepted change's ID, author and summary.
func (c Configuration) WithAcceptedChange(id, by string, at time.Time, summary []string) Configuration {
	c.Revision++
	kept := c.Changes[max(0, len(c.Changes)-maxRetainedChanges+1):]
	c.Changes = append(slices.Clone(kept), change{ID: id, Revision: c.Revision, AcceptedAt: at, By: by, Summary: summary})
	return c
}

// RevisionOfChange returns the revision that the change with the ID produced, and whether the change is still
// retained.
func (c Configuration) RevisionOfChange(id string) (int64, bool) {
	for _, ch := range c.Changes {
		if ch.ID == id {
			return ch.Revision, true
		}
	}
	return 0, false
}

// ChangesSince returns the summaries of the retained changes after a revision.
func (c Configuration) ChangesSince(revision int64) []string {
	var lines []string
	for _, ch := range c.Changes {
		if ch.Revision > revision {
			lines = append(lines, ch.Summary...)
		}
	}
	return lines
}

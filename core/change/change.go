// Package change decides what an operator's change makes of the configuration.
package change

import (
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/resource"
)

// Change is what an operator submits.
type Change struct {
	// ID tells the change from all others, so that a lost answer can be asked about.
	ID string
	By string
	// ExpectedRevision is the revision that the operator has seen.
	ExpectedRevision int64
	Declare          []resource.Resource
	Remove           []resource.Resource
}

// Apply returns the configuration with the change accepted at a time. A change whose id was accepted before returns
// the configuration as it is. Errors are an [*Error] of kind Conflict, or a *configuration.Error of kind Invalid.
func (c Change) Apply(current configuration.Configuration, at time.Time) (configuration.Configuration, error) {
	if _, done := current.RevisionOf(c.ID); done {
		return current, nil
	}
	if c.ExpectedRevision != current.Revision {
		return current, newConflict(c.ExpectedRevision, current.Revision, current.ChangedSince(c.ExpectedRevision))
	}
	next := current
	for _, r := range c.Declare {
		next = next.With(r)
	}
	for _, r := range c.Remove {
		next = next.Without(r)
	}
	next = next.WithHomes()
	if err := next.Check(); err != nil {
		return current, err
	}
	return next.Accepted(c.ID, c.By, at, current.Diff(next)), nil
}

// Package change applies an operator's change to the configuration.
package change

import (
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/resource"
)

// Change is a configuration change submitted by an operator.
type Change struct {
	// ID identifies the change, so that its result can be queried when the response was lost.
	ID string
	// By names the author of the change.
	By string
	// ExpectedRevision is the configuration revision on which the operator based the change.
	ExpectedRevision int64
	// Declare lists the resources to add or replace.
	Declare []resource.Resource
	// Remove lists the resources to remove, of which only the kind and the name matter.
	Remove []resource.Resource
}

// Apply returns the configuration with the change accepted at the given time. If the configuration retains an accepted
// change with the same ID, it is returned unchanged. Each error is an [*Error] of kind Conflict or a
// *configuration.Error of kind Invalid.
func (c Change) Apply(current configuration.Configuration, at time.Time) (configuration.Configuration, error) {
	if _, done := current.RevisionOfChange(c.ID); done {
		return current, nil
	}
	if c.ExpectedRevision != current.Revision {
		return current, newConflict(c.ExpectedRevision, current.Revision, current.ChangesSince(c.ExpectedRevision))
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
	return next.WithAcceptedChange(c.ID, c.By, at, current.Diff(next)), nil
}

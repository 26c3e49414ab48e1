// Package gateway decides whether a request that did not run is tried again.
package gateway

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/retry"
)

// The waits before another try.
const (
	movedWait = 50 * time.Millisecond
	maxTries  = 100
)

// Gateway is what an entry host remembers of its callers' requests as a whole. It is immutable.
type Gateway struct {
	budget retry.Budget
}

// New returns the state of an entry host that has had no requests.
func New() Gateway { return Gateway{budget: retry.New()} }

// WithRequest returns the state after one more request.
func (g Gateway) WithRequest() Gateway {
	g.budget = g.budget.WithRequest()
	return g
}

// Again decides whether a request is tried again, and after what wait. Only an outcome that proves that the request
// did not run because its owner had moved is, while the deadline allows it. The first tries spend the retry budget;
// with the budget spent the waits grow instead.
func (g Gateway) Again(o outcome.Outcome, tries int, deadline, now time.Time) (Gateway, time.Duration, bool) {
	notRun, ok := o.(outcome.NotRun)
	if !ok || !notRun.Moved || tries >= maxTries {
		return g, 0, false
	}
	wait := movedWait
	next, allowed := g.budget.WithRetry()
	if !allowed {
		wait = 5 * movedWait
	}
	if !now.Add(2 * wait).Before(deadline) {
		return g, 0, false
	}
	g.budget = next
	return g, wait, true
}

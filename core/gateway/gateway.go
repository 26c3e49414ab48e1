// Package gateway decides whether an entry host retries a request that did not run.
package gateway

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/retry"
)

const (
	// movedRetryDelay is the delay before a retry after the owner of the key has moved.
	movedRetryDelay = 50 * time.Millisecond
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 100
)

// Gateway holds the retry state of an entry host. It is immutable.
type Gateway struct {
	budget retry.Budget
}

// New returns the state of an entry host without requests, with a full retry budget.
func New() Gateway { return Gateway{budget: retry.New()} }

// WithRequest returns the state after one more request.
func (g Gateway) WithRequest() Gateway {
	g.budget = g.budget.WithRequest()
	return g
}

// DecideRetry returns whether a request with the given number of attempts is retried, and after what delay. It is
// retried only if the outcome proves that it did not run because the owner of its key had moved, and the deadline is
// more than twice the delay away. Retries draw on the retry budget; while it is empty they are not denied, but delayed
// five times as long.
func (g Gateway) DecideRetry(o outcome.Outcome, attempts int, deadline, now time.Time) (Gateway, time.Duration, bool) {
	notRun, ok := o.(outcome.NotRun)
	if !ok || !notRun.Moved || attempts >= maxAttempts {
		return g, 0, false
	}
	delay := movedRetryDelay
	next, allowed := g.budget.WithRetry()
	if !allowed {
		delay = 5 * movedRetryDelay
	}
	if !now.Add(2 * delay).Before(deadline) {
		return g, 0, false
	}
	g.budget = next
	return g, delay, true
}

package forward

import (
	"maps"
	"time"

	"redwingsill/core/slidingbudget"
)

// RetryBudget bounds the retries of all entry hosts together, for each service.
type RetryBudget struct {
	// Window is the sliding window in which requests and retries are counted.
	Window time.Duration
	// Ratio is the allowed number of retries per request.
	Ratio float64
	// Extra is the number of retries per window that are allowed in addition. The hosts share it equally.
	Extra float64
}

// SetRetryBudget replaces the retry budget and resets the retry counts of all services.
func (f *Forwarder) SetRetryBudget(b RetryBudget) {
	f.retryBudget.Store(b)
	f.budgets.Store(map[string]slidingbudget.Budget{})
}

// updateBudget applies step to this host's part of the retry budget of a service.
func (f *Forwarder) updateBudget(service string, step func(slidingbudget.Budget) slidingbudget.Budget) {
	f.budgets.Update(func(old map[string]slidingbudget.Budget) map[string]slidingbudget.Budget {
		next := maps.Clone(old)
		b, ok := next[service]
		if !ok {
			total := f.retryBudget.Read()
			b = slidingbudget.New(total.Window, total.Ratio*budgetRatioShare, total.Extra/float64(max(1, f.directory.Read().Len())))
		}
		next[service] = step(b)
		return next
	})
}

// countRequest counts a request in the retry budget of a service.
func (f *Forwarder) countRequest(service string, now time.Time) {
	f.updateBudget(service, func(b slidingbudget.Budget) slidingbudget.Budget { return b.WithRequest(now) })
}

// takeRetry takes one retry from the budget of a service, and reports whether the budget allows it.
func (f *Forwarder) takeRetry(service string) bool {
	ok := false
	now := f.now()
	f.updateBudget(service, func(b slidingbudget.Budget) slidingbudget.Budget {
		b, ok = b.WithRetry(now)
		return b
	})
	return ok
}

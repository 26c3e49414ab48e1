// Package retry bounds the retries of attempts that did not run.
package retry

// share is how many retries each request earns.
const share = 0.1

// burst is how many retries may be saved up.
const burst = 10

// Budget is the retries that recent requests have earned. The zero value has none. It is immutable.
type Budget struct {
	tokens float64
}

// New returns a full budget.
func New() Budget { return Budget{tokens: burst} }

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest() Budget {
	return Budget{tokens: min(burst, b.tokens+share)}
}

// WithRetry returns the budget after one retry, and whether it allows one.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	return Budget{tokens: b.tokens - 1}, true
}

// Package retry limits the retries of requests that did not run.
package retry

// retriesPerRequest is the number of retries that each request adds to the budget.
const retriesPerRequest = 0.1

// maxTokens is the size of the budget, in retries.
const maxTokens = 10

// Budget is a token bucket that requests fill and retries drain. The zero value is empty. It is immutable.
type Budget struct {
	tokens float64
}

// New returns a full budget.
func New() Budget { return Budget{tokens: maxTokens} }

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest() Budget {
	return Budget{tokens: min(maxTokens, b.tokens+retriesPerRequest)}
}

// WithRetry returns the budget after one retry, and whether the retry is allowed.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	return Budget{tokens: b.tokens - 1}, true
}

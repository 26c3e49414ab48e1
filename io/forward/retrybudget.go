package forward

import "time"

// RetryBudget bounds the retries of all entry hosts together, for each service.
type RetryBudget struct {
	// Window is the sliding window in which requests and retries are counted.
	Window time.Duration
	// Ratio is the allowed number of retries per request.
	Ratio float64
	// Extra is the number of retries per window that are allowed in addition. The hosts share it equally.
	Extra float64
}

package flood

// freeRetries is the [ranked] policy with callers that retry every refused request after [retryDelay], up to [maxRetries]
// times and without a retry budget.
type freeRetries struct{}

func (freeRetries) policy() {}

// Package slidingbudget limits the retries of one service within a sliding window.
package slidingbudget

import "time"

// segments is the number of segments of the window. The counts of a segment expire together.
const segments = 10

// Budget counts the requests and retries of one entry host for one service. It is immutable.
type Budget struct {
	window time.Duration
	ratio  float64
	extra  float64
	// newest is the index of the newest segment, counted from the Unix epoch.
	newest int64
	// requests and retries are counted by segment, oldest first. One more segment than the window has is kept, since
	// the newest is incomplete.
	requests [segments + 1]int
	retries  [segments + 1]int
}

// New returns a budget that allows ratio retries per request within the window, plus extra retries. Its counts cover the
// window and up to one more segment.
func New(window time.Duration, ratio, extra float64) Budget {
	return Budget{window: window, ratio: ratio, extra: extra}
}

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest(now time.Time) Budget {
	b = b.advancedTo(now)
	b.requests[segments]++
	return b
}

// WithRetry returns the budget after one retry, and whether the retry is allowed. A denied retry is not counted.
func (b Budget) WithRetry(now time.Time) (Budget, bool) {
	b = b.advancedTo(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(requests)+b.extra {
		return b, false
	}
	b.retries[segments]++
	return b, true
}

// advancedTo returns the budget with now in its last segment.
func (b Budget) advancedTo(now time.Time) Budget {
	segment := now.UnixNano() / int64(b.window/segments)
	moved := segment - b.newest
	if moved == 0 {
		return b
	}
	b.newest = segment
	var requests, retries [segments + 1]int
	for i := range requests {
		if from := int64(i) + moved; from >= 0 && from <= segments {
			requests[i], retries[i] = b.requests[from], b.retries[from]
		}
	}
	b.requests, b.retries = requests, retries
	return b
}

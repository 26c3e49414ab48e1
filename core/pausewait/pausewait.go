// Package pausewait decides what becomes of a request while the backend servers that can run it have asked for a pause.
package pausewait

import "time"

const (
	// maxWaitFraction is the part of the time left to a request's deadline that the rest of the pause may take if the request
	// waits. After a longer wait too little time would be left for the queue that has formed.
	maxWaitFraction = 0.5
	// minServiceTimeFraction is the part of the average service time that must be left after the pause. Half of all requests
	// take less than 0.7 of the average.
	minServiceTimeFraction = 0.5
	// rankInterval spreads the returns of refused callers. Those of a rank come within one interval, after those of the more
	// urgent ranks.
	rankInterval = 100 * time.Millisecond
	// maxRankIntervals bounds the intervals by which the return of the least urgent ranks is delayed.
	maxRankIntervals = 10
)

// PauseWait is a request that no backend server may get before the end of a pause.
type PauseWait struct {
	// Rest is the rest of the pause of the server that may get requests first.
	Rest time.Duration
	// Left is the time left to the request's deadline, and ServiceTime the average service time of its rank.
	Left        time.Duration
	ServiceTime time.Duration
	// Rank is the request's rank; 0 is the most urgent.
	Rank int
	// Ticket identifies the request. It spreads the returns within a rank.
	Ticket uint64
}

// IsRefused reports whether the request is refused at once. Otherwise it waits for the end of the pause.
func (w PauseWait) IsRefused() bool {
	return float64(w.Rest) > maxWaitFraction*float64(w.Left) ||
		w.Rest+time.Duration(minServiceTimeFraction*float64(w.ServiceTime)) > w.Left
}

// RetryAfter returns when a refused caller may come again: after the pause, in the order of ranks.
func (w PauseWait) RetryAfter() time.Duration {
	rank := time.Duration(min(max(w.Rank, 0), maxRankIntervals))
	return w.Rest + rank*rankInterval + spread(w.Ticket)
}

// spread returns a part of rankInterval that differs between consecutive tickets.
func spread(ticket uint64) time.Duration {
	const golden = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio, as in Fibonacci hashing
	return rankInterval * time.Duration(ticket*golden>>56) / 256
}

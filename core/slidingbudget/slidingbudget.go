// Package slidingbudget bounds how often requests are sent once more, for one service within a sliding window.
package slidingbudget

import "time"

// slices is into how many parts the window is divided; a part is forgotten as a whole.
const slices = 10

// Budget is the repeats that one entry host may make for one service. It is immutable.
type Budget struct {
	window  time.Duration
	ratio   float64
	extra   float64
	first   int64
	counts  [slices + 1]int
	repeats [slices + 1]int
}

// New returns a budget: in any window, ratio repeats for each request and some extra.
func New(window time.Duration, ratio, extra float64) Budget {
	return Budget{window: window, ratio: ratio, extra: extra}
}

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest(now time.Time) Budget {
	b = b.at(now)
	b.counts[slices]++
	return b
}

// WithRepeat returns the budget after one repeat, and whether it allows one.
func (b Budget) WithRepeat(now time.Time) (Budget, bool) {
	b = b.at(now)
	requests, repeats := 0, 0
	for i := range b.counts {
		requests += b.counts[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > b.ratio*float64(requests)+b.extra {
		return b, false
	}
	b.repeats[slices]++
	return b, true
}

// at returns the budget with the parts moved on to now.
func (b Budget) at(now time.Time) Budget {
	part := now.UnixNano() / int64(b.window/slices)
	moved := part - b.first
	if moved == 0 {
		return b
	}
	b.first = part
	var counts, repeats [slices + 1]int
	for i := range counts {
		if from := int64(i) + moved; from >= 0 && from <= slices {
			counts[i], repeats[i] = b.counts[from], b.repeats[from]
		}
	}
	b.counts, b.repeats = counts, repeats
	return b
}

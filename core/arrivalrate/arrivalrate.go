// Package arrivalrate measures how many requests a second arrive at one queue, by rank, so that an overload is noticed within a
// second of its start, and one by the more urgent ranks before a less urgent request waits for nothing.
package arrivalrate

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which a count decays to half. A burst lasts some seconds, and a server starts about ten requests
	// in this time.
	halfLife = time.Second
	// ranks is the number of ranks that are counted apart. The last one includes all less urgent ranks.
	ranks = 4
)

// Rate is a decayed number of arrivals for each rank. The zero value has none. It is immutable.
type Rate struct {
	counts    [ranks]float64
	updatedAt time.Time
}

// With returns the rate after one more arrival of a rank.
func (r Rate) With(rank int, now time.Time) Rate {
	decay := r.decay(now)
	for i := range r.counts {
		r.counts[i] *= decay
	}
	r.counts[min(max(rank, 0), ranks-1)]++
	r.updatedAt = now
	return r
}

// PerSecond returns the rate of all ranks at now.
func (r Rate) PerSecond(now time.Time) float64 { return r.MoreUrgentPerSecond(ranks, now) }

// MoreUrgentPerSecond returns the rate of the ranks that are more urgent than the given one.
func (r Rate) MoreUrgentPerSecond(rank int, now time.Time) float64 {
	count := 0.0
	for i := range min(max(rank, 0), ranks) {
		count += r.counts[i]
	}
	// At a constant rate, a count settles at rate * halfLife / ln 2.
	return count * r.decay(now) * math.Ln2 / halfLife.Seconds()
}

// decay returns the part of the counts that is left at now.
func (r Rate) decay(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 1
	}
	return math.Exp2(-max(0, now.Sub(r.updatedAt).Seconds()) / halfLife.Seconds())
}

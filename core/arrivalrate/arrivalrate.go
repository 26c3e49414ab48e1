// Package arrivalrate measures how many requests a second arrive at one queue, so that an overload is noticed within a second
// of its start.
package arrivalrate

import (
	"math"
	"time"
)

// halfLife is the time in which the count decays to half. A burst lasts some seconds, and a server starts about ten requests
// in this time.
const halfLife = time.Second

// Rate is a decayed number of arrivals. The zero value has none. It is immutable.
type Rate struct {
	count     float64
	updatedAt time.Time
}

// With returns the rate after one more arrival.
func (r Rate) With(now time.Time) Rate { return Rate{count: r.decayedAt(now) + 1, updatedAt: now} }

// PerSecond returns the rate at now.
func (r Rate) PerSecond(now time.Time) float64 {
	// At a constant rate, the count settles at rate * halfLife / ln 2.
	return r.decayedAt(now) * math.Ln2 / halfLife.Seconds()
}

func (r Rate) decayedAt(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp2(-max(0, now.Sub(r.updatedAt).Seconds())/halfLife.Seconds())
}

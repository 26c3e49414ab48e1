// Package movecost weighs what the move of a key range costs against what it gains, both in requests. Its load is one whose keys
// compete for room: moves serve requests that would be late, but each leaves a range unserved for a moment, and its first
// requests may meet the earlier owner or a new one that is cold.
package movecost

import "time"

const (
	// fixedCost is the cost of any move: its release and grant, and the renewals of one more range, take some tenths of the
	// coordinator's time for a request.
	fixedCost = 0.3
	// gapTime is how long a range is unserved if no work runs on it, and redirectTime how long hosts send its requests to the
	// earlier owner, which turns them away.
	gapTime      = 12 * time.Millisecond
	redirectTime = 20 * time.Millisecond
	// lostHandovers is the assumed share of moves whose new owner does not get the state of the earlier one, and coldFactor how
	// many times as long requests for cold keys take.
	lostHandovers = 0.02
	coldFactor    = 2.6
)

// Cost is the cost of moves in one service. It is immutable.
type Cost struct {
	perRate time.Duration
}

// New returns the cost of moves in a service whose keys are cold for warmUp at a new owner without their state.
func New(warmUp time.Duration) Cost {
	return Cost{perRate: gapTime + redirectTime + time.Duration(lostHandovers*(coldFactor-1)*float64(warmUp))}
}

// Of returns the cost of moving keys with a request rate, on which work of the given duration may still run.
func (c Cost) Of(rate float64, running time.Duration) float64 {
	return fixedCost + rate*(c.perRate+running).Seconds()
}

// Pays reports whether a move of keys with a request rate pays if it serves gain more requests in time. The range is unserved
// while the work of the given duration runs on it.
func (c Cost) Pays(gain, rate float64, running time.Duration) bool { return gain > c.Of(rate, running) }

// Package timing holds the lengths of time that the decisions work with.
package timing

import "time"

// Timing is the lengths of time of one cell. All hosts of a cell must have the same.
type Timing struct {
	// Beat is the time between two reports of a member to its arbiter.
	Beat time.Duration
	// Silence is the time without word after which a host counts as lost.
	Silence time.Duration
	// Permit is the longest time that a permit lasts after the arbiter last had the word of a majority.
	Permit time.Duration
	// LeaseTTL is how long the platform keeps the arbiter's lease after a renewal.
	LeaseTTL time.Duration
	// LeaseRenewal is the time between two renewals.
	LeaseRenewal time.Duration
	// Drift is how far two clocks may run apart while one permit lasts.
	Drift time.Duration
	// Skew is how far the wall clocks of any two machines may differ.
	Skew time.Duration
	// Stagger is the time between the first tries of two successors of an arbiter.
	Stagger time.Duration
	// Retention is how long the outcome of a request id is kept.
	Retention time.Duration
}

// Default returns the lengths that meet the target of 5 s from a loss to service.
func Default() Timing {
	return Timing{
		Beat:         500 * time.Millisecond,
		Silence:      time.Second,
		Permit:       3 * time.Second,
		LeaseTTL:     2 * time.Second,
		LeaseRenewal: 800 * time.Millisecond,
		Drift:        30 * time.Millisecond,
		Skew:         100 * time.Millisecond,
		Stagger:      250 * time.Millisecond,
		Retention:    10 * time.Minute,
	}
}

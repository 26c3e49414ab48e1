// Package timing holds the lengths of time that the decisions work with.
package timing

import "time"

// Timing is the lengths of time of one cell. All hosts of a cell must have the same.
type Timing struct {
	// Beat is the time between two reports of a member to its arbiter.
	HeartbeatInterval time.Duration
	// Silence is the time without word after which a host counts as lost.
	SilenceTimeout time.Duration
	// Permit is the longest time that a permit lasts after the arbiter last had the word of a majority.
	LeaseDuration time.Duration
	// LeaseTTL is how long the platform keeps the arbiter's lease after a renewal.
	StoreLeaseTTL time.Duration
	// LeaseRenewal is the time between two renewals.
	StoreLeaseRenewal time.Duration
	// Drift is how far two clocks may run apart while one permit lasts.
	ClockDrift time.Duration
	// Skew is how far the wall clocks of any two machines may differ.
	ClockSkew time.Duration
	// Stagger is the time between the first tries of two successors of an arbiter.
	CandidacyStagger time.Duration
	// Retention is how long the outcome of a request id is kept.
	OutcomeRetention time.Duration
}

// Default returns the lengths that meet the target of 5 s from a loss to service.
func Default() Timing {
	return Timing{
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    time.Second,
		LeaseDuration:     3 * time.Second,
		StoreLeaseTTL:     2 * time.Second,
		StoreLeaseRenewal: 800 * time.Millisecond,
		ClockDrift:        30 * time.Millisecond,
		ClockSkew:         100 * time.Millisecond,
		CandidacyStagger:  250 * time.Millisecond,
		OutcomeRetention:  10 * time.Minute,
	}
}

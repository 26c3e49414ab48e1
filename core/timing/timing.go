// Package timing defines the intervals and time limits of a group.
package timing

import "time"

// Timing holds the intervals and time limits of one group. All hosts of a group must use the same values.
type Timing struct {
	// HeartbeatInterval is the time between two reports of a member, each of which the leader answers with a heartbeat.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a message after which a host is considered lost.
	SilenceTimeout time.Duration
	// LeaseDuration is how long a lease lasts after the latest time at which a majority is known to have followed the
	// leader.
	LeaseDuration time.Duration
	// StoreLeaseTTL is how long the platform's key-value store keeps the leader's store lease, a key with a TTL, after a
	// renewal.
	StoreLeaseTTL time.Duration
	// StoreLeaseRenewal is the time between two renewals of the store lease.
	StoreLeaseRenewal time.Duration
	// ClockDrift is how far two clocks may drift apart during one lease.
	ClockDrift time.Duration
	// ClockSkew is how far the wall clocks of any two machines may differ.
	ClockSkew time.Duration
	// CandidacyStagger is the time between the first attempts of two consecutive successors to become the leader (twice
	// that if the platform does not answer), and the wait before a retry after a platform call has failed.
	CandidacyStagger time.Duration
	// OutcomeRetention is how long the outcome of a request ID is kept.
	OutcomeRetention time.Duration
}

// Default returns the timing that restores service within 5 s of the loss of a host.
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

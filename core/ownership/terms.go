package ownership

import "time"

// Terms are the times that the coordinator keeps to.
type Terms struct {
	// Hold is how long a backend server holds keys from a grant's arrival.
	Hold time.Duration
	// HoldAway is the same while the store is known to be away.
	HoldAway time.Duration
	// Away is for how long the store counts as away after that was found.
	Away time.Duration
	// ClockSlack is by how much a backend server's clock may run slow, as a part of the time.
	ClockSlack float64
	// CallTimeout is when a call to a backend server is given up; what was sent by then may still arrive up to here.
	CallTimeout time.Duration
	// Renew is the time between two renewals of a grant.
	Renew time.Duration
	// Retry is the time after which a grant without an answer is sent again.
	Retry time.Duration
	// Grace is how long grants are renewed after the lease in any case, and Extension while the store is known to be away for
	// nearly all hosts, so that no other coordinator can be elected.
	Grace     time.Duration
	Extension time.Duration
	// Settle is how long the first map waits for more backend servers.
	Settle time.Duration
	// Plan is the time between two looks at the balance, and Look between two looks at requests that wait.
	Plan time.Duration
	Look time.Duration
	// Stay is how long a range stays that has moved, unless its owner leaves. It keeps keys from going to and fro.
	Stay time.Duration
	// MostMoves bounds the ranges that move at the same time.
	MostMoves int
}

// LongestHold returns how long any grant may hold by a slow clock.
func (t Terms) LongestHold() time.Duration { return t.slow(max(t.Hold, t.HoldAway)) }

// slow returns a time by a slow clock.
func (t Terms) slow(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockSlack))
}

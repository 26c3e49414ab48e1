// Package lease defines the lease of an entry host on a backend server.
package lease

import (
	"time"

	"redwingsill/core/grant"
)

// Lease is the right of one entry host to send requests to one backend server until it expires.
type Lease struct {
	Server string
	Grant  grant.Grant
	// Origin is the grant under which the present dedup table began. It stays the same while one host holds the
	// lease without a break, and when a lease holder hands its table to the next.
	Origin grant.Grant
	// Validity is how long the lease lasts. In a heartbeat it counts from the holder's report that the heartbeat answers,
	// in a report or promise from the time at which it was sent.
	Validity time.Duration `json:",omitempty"`
	// Idle is for how long, when the lease was sent, no request for the server's units can have run under another lease
	// holder or at another server. It is 0 if that is not known.
	Idle time.Duration `json:",omitempty"`
	// Expiry is when the lease ends by the holder's clock. It is not sent.
	Expiry time.Time `json:"-"`
}

// IsValid reports whether the lease has been granted and has not expired at now.
func (l Lease) IsValid(now time.Time) bool {
	return !l.Grant.IsZero() && now.Before(l.Expiry)
}

// WithExpiry returns the lease with its expiry by the holder's clock.
func (l Lease) WithExpiry(at time.Time) Lease {
	l.Expiry = at
	return l
}

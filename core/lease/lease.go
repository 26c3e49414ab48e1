// Package lease holds the right of one entry host to send orders to one backend server.
package lease

import (
	"time"

	"redwingsill/core/grant"
)

// Lease is the right to be the steward of a backend server until it expires.
type Lease struct {
	Server string
	Grant  grant.Grant
	// Origin is the grant under which the present memory of request ids began. It stays the same while one steward
	// holds the server without a break, and when a steward hands its memory to the next.
	Origin grant.Grant
	// Validity is the length of the permit when it was sent, from the moment the holder last reported.
	Validity time.Duration `json:",omitempty"`
	// Idle is how long ago the last permit of another holder had surely ended when this one was sent. No request can
	// have run at the server since.
	Idle time.Duration `json:",omitempty"`
	// Expiry is the end by the holder's clock. It is not sent.
	Expiry time.Time `json:"-"`
}

// IsValid reports whether the permit has not expired at now.
func (l Lease) IsValid(now time.Time) bool {
	return !l.Grant.IsZero() && now.Before(l.Expiry)
}

// WithExpiry returns the permit ending at a time by the holder's clock.
func (l Lease) WithExpiry(at time.Time) Lease {
	l.Expiry = at
	return l
}

// Package limits holds what callers may send.
package limits

import "time"

// Limits bounds callers' requests and connections. A zero value sets no bound.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderTimeout bounds the time in which a head arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between requests.
	IdleTimeout time.Duration
}

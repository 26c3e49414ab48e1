// Package limits holds the limits on callers' requests and connections.
package limits

import "time"

// Limits bounds callers' requests and connections. A zero field sets no limit.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HeaderTimeout is the maximum time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
}

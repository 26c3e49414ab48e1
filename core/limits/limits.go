// Package limits holds the limits on callers' requests and connections.
package limits

import "time"

// Limits bounds callers' requests and connections. A timeout of 0 sets no limit, and a size of 0 selects the default
// size.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header. The default is that of net/http, 1 MiB.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body. The default is 8 MiB.
	BodyBytes int64
	// HeaderTimeout is the maximum time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
}

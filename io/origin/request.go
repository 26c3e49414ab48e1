package origin

import (
	"net/http"
	"time"
)

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's header fields. Hop-by-hop fields are not sent on.
	Header http.Header
	Body   []byte
	// AttemptID is the caller's ID of this attempt. The response must echo it.
	AttemptID string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

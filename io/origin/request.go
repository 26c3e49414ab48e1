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
	// Host is the value of the Host header field.
	Host string
	// Header holds the caller's header fields. Hop-by-hop fields are not sent on.
	Header http.Header
	Body   []byte
	// AttemptID is the sender's ID of the request; retries by an entry host carry the same ID. It is sent only if Header
	// holds it too. The response must echo it, or have no ID if AttemptID is empty.
	AttemptID string
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
}

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
	// holds it too. The response must echo it, or have no ID if AttemptID is empty. In that case the connection is kept
	// only after a response with status 200.
	AttemptID string
	// HasKey is set if only the owner of the request's key serves it.
	HasKey bool
	// NeedsNewConnection makes the request go over a new connection. It is set if a late copy of an earlier response must not be
	// taken for the response, and there is no attempt ID that tells them apart.
	NeedsNewConnection bool
	// Connection is the ID of the connection that carries the request if it is idle, or 0 for any.
	Connection int64
	// FinalHeader is the name of a header field that only the last response on a connection has, or empty.
	FinalHeader string
	// RequiresFinalHeader makes a response without it count as a late copy of an earlier one, which is skipped, unless the connection has
	// carried no other request.
	RequiresFinalHeader bool
	// MaxResponseBody bounds the response's body in bytes if it is above 0.
	MaxResponseBody int64
	// Arrived is the time at which the caller's request was read, or zero.
	Arrived time.Time
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
}

// mayUse reports whether the request may go over a connection that has carried others.
func (r Request) mayUse(c *conn) bool {
	return !r.NeedsNewConnection && !r.isAlone() && c.accepts(r.AttemptID)
}

// isAlone reports whether the request's connection carries no other. That of a HEAD request doesn't: the end of a late copy of
// a response can be found only if all requests have responses of the same form.
func (r Request) isAlone() bool { return r.Method == http.MethodHead }

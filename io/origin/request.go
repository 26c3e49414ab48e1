package origin

import (
	"net/http"
	"time"
)

// Request is what a backend server gets.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's fields; those that concern one connection are left out.
	Header http.Header
	Body   []byte
	// Attempt is the caller's name of this try, which the answer must echo.
	Attempt string
	// Deadline is when the answer is worth nothing.
	Deadline time.Time
}

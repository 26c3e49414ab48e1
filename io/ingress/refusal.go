package ingress

import (
	"net/http"
	"time"
)

// refusal is the response to a request that is not forwarded.
type refusal struct {
	status int
	// retryAfter is sent as Retry-After if it is above 0 and the status promises that the request has not run.
	retryAfter time.Duration
	reason     string
}

// hostStops refuses a request that would not end before this host stops.
var hostStops = refusal{http.StatusServiceUnavailable, otherHostRetryAfter, "this host stops"}

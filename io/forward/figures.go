package forward

import (
	"time"

	"redwingsill/core/attemptresult"
)

// Figures counts what becomes of requests.
type Figures interface {
	// Request counts a request by its service, rank and outcome.
	Request(service string, rank int, outcome string, took time.Duration)
	// Attempt counts a request that left its slot at a backend server.
	Attempt(service string, result attemptresult.Status)
}

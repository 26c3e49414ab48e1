package forward

import (
	"time"

	"redwingsill/core/attemptresult"
)

// Metrics records the outcomes of requests and attempts.
type Metrics interface {
	// Request records a finished request by service, rank and outcome, and its duration. The outcome is Answered, NotRun,
	// Unknown, or Left if the request was cancelled.
	Request(service string, rank int, outcome string, took time.Duration)
	// Attempt records the result of one attempt at a backend server of the service.
	Attempt(service string, result attemptresult.Status)
}

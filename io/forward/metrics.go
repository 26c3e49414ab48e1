package forward

import (
	"time"

	"redwingsill/core/attemptresult"
)

// Metrics records the outcomes of requests and attempts.
type Metrics interface {
	// ObserveRequest counts a finished request by service, rank and outcome, and records its duration. The outcome is
	// Answered, NotRun, Unknown, or Left if the request was cancelled.
	ObserveRequest(service string, rank int, outcome string, took time.Duration)
	// CountAttempt counts an attempt to send a request to a backend server of a service, by its result.
	CountAttempt(service string, result attemptresult.Status)
	// CountInvalidResponse counts what a backend server of a service sent that is no response.
	CountInvalidResponse(service string)
}

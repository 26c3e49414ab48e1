package forward

import (
	"time"

	"redwingsill/core/attempt"
	"redwingsill/core/attemptresult"
	"redwingsill/core/placement"
	"redwingsill/core/rule"
	"redwingsill/io/origin"
)

// requestState is the state of a request in progress. Only the goroutine that serves the request uses it.
type requestState struct {
	rule    *rule.Rule
	request origin.Request
	service string
	key     int
	// objective is the time by which the route's service-level objective wants the response.
	objective time.Time
	attempt   attempt.History
	// rounds counts the slot requests.
	rounds int
	// incarnation, result and err are those of the last attempt.
	incarnation string
	result      attemptresult.Status
	err         error
	// refused is the reason why no slot was granted, or empty.
	refused placement.Reason
}

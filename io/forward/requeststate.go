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
	// objective is the target time for the response: the start of Serve plus the route's objective.
	objective time.Time
	attempt   attempt.History
	// rounds counts the slot requests.
	rounds int
	// incarnation is the backend server of the last slot; result and err are those of the last attempt to send the
	// request.
	incarnation string
	result      attemptresult.Status
	err         error
	// refused is the reason why no slot was granted, or empty.
	refused placement.Reason
}

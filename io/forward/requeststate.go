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
	route   *rule.Rule
	request origin.Request
	service string
	// key is the request's key or [slotrequest.NoKey]. It is used only if the service is sharded.
	key int
	// objective is the target time for the response: the start of Serve plus the route's objective.
	objective time.Time
	// onSend is called before each attempt to send the request.
	onSend  func()
	history attempt.History
	// rounds counts the rounds. In each one this host asks for a slot, the right to run one request on a backend server,
	// and, once it is granted, tries to send the request.
	rounds int
	// incarnation is the backend server of the last slot. result and err are those of the last attempt to send the
	// request; before the first one they are Unsent and nil.
	incarnation string
	result      attemptresult.Status
	err         error
	// status is the HTTP status of the last response, or 0.
	status int
	// failure is the last response that reports a failure and may pass, or nil. The caller gets it unless a later attempt succeeds.
	failure *origin.Response
	// refusalReason is why no slot was granted, or empty.
	refusalReason placement.Reason
}

// keepFailure keeps a response that reports a failure, in place of the one before, if it may pass, and releases it otherwise. It does
// nothing without a response.
func (s *requestState) keepFailure(response *origin.Response) {
	if response == nil || !response.MayPass {
		response.Release()
		return
	}
	s.releaseFailure()
	s.failure = response
}

// releaseFailure releases the response that keepFailure has kept, if any.
func (s *requestState) releaseFailure() {
	s.failure.Release()
	s.failure = nil
}

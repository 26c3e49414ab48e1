// Package responsehead decides what a backend server's response says of its request: whether the request may have run, whether the server
// has failed, and whether the caller may get the response.
package responsehead

import "redwingsill/core/attemptresult"

// ResponseHead is the part of a response's head that decides, and of the request that it answers. It is immutable.
type ResponseHead struct {
	// Expected is the ID of the server that the request was sent to, and HasKey is set if the request has a key, which only its owner
	// serves.
	Expected string
	HasKey   bool
	// Status is the HTTP status.
	Status int
	// IsNotRun is set if the response states that the request was not run.
	IsNotRun bool
	// Server is the ID that the responding server gives itself, or empty.
	Server string
}

// Result returns how the attempt has ended.
func (h ResponseHead) Result() attemptresult.Status {
	switch {
	case h.Status == misdirectedRequest:
		return h.misdirectedResult()
	case h.IsNotRun:
		return attemptresult.Refused
	case h.Status >= internalServerError || h.promisesNotRun():
		return attemptresult.Failed
	}
	return attemptresult.Answered
}

// misdirectedResult returns how an attempt has ended whose response is 421. The expected server refuses a key that it does not own with a
// statement that the request was not run, and another server need not name itself.
func (h ResponseHead) misdirectedResult() attemptresult.Status {
	switch {
	case h.Server != "" && h.Server != h.Expected:
		return attemptresult.Replaced
	case h.Server == "" && (!h.IsNotRun || !h.HasKey):
		return attemptresult.Replaced
	case h.IsNotRun:
		return attemptresult.NotOwner
	}
	return attemptresult.Failed
}

// MayPass reports whether the caller may get the response. The status of a failure must not promise that the request has not run, since
// callers then send even those again that must not run twice.
func (h ResponseHead) MayPass() bool {
	switch h.Result() {
	case attemptresult.Answered:
		return true
	case attemptresult.Failed:
		return !h.promisesNotRun()
	default:
		return false
	}
}

// promisesNotRun reports whether callers take the status for a promise that the request has not run and never will.
func (h ResponseHead) promisesNotRun() bool {
	switch h.Status {
	case requestTimeout, misdirectedRequest, tooManyRequests, serviceUnavailable:
		return true
	}
	return false
}

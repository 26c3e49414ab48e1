// Package attempt decides whether a request is retried after an attempt at a backend server.
package attempt

import (
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/rule"
)

// History records the attempts of one request. The zero value has none. It is immutable.
type History struct {
	// Sent counts the attempts that were sent, and Started those in which a backend server may have run the request.
	Sent    int
	Started int
	// MayHaveRun is set if Started is not 0.
	MayHaveRun bool
	// Excluded lists the incarnations of backend servers that are not tried again.
	Excluded []string
}

// WithResult returns the history with the result of one more attempt.
func (h History) WithResult(incarnation string, status attemptresult.Status) History {
	switch status {
	case attemptresult.Unsent, attemptresult.Unreachable:
	case attemptresult.Refused, attemptresult.NotOwner, attemptresult.Replaced:
		h.Sent++
	case attemptresult.Answered, attemptresult.Failed, attemptresult.TimedOut, attemptresult.Left:
		h.Sent++
		h.Started++
		h.MayHaveRun = true
	}
	if status != attemptresult.NotOwner && status != attemptresult.Unsent {
		h.Excluded = append(h.Excluded[:len(h.Excluded):len(h.Excluded)], incarnation)
	}
	return h
}

// MayRetry reports whether the request may be sent again: it can't have run or is idempotent, the time left to its
// deadline is at least the time needed, and the rule's MaxAttempts and the retry budget allow it. The function takeRetry
// takes a retry from the budget, if there is one left, and is called last. A request that was never sent needs neither
// attempts nor budget.
func (h History) MayRetry(r *rule.Rule, left, needed time.Duration, takeRetry func() bool) bool {
	switch {
	case h.MayHaveRun && !r.IsIdempotent, left < needed:
		return false
	case h.Sent == 0:
		return true
	}
	return h.Started < max(1, r.MaxAttempts) && takeRetry()
}

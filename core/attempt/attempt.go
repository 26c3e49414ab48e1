// Package attempt decides what follows when a request has been to a backend server.
package attempt

import (
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/rule"
)

// Attempt is how far one request has come. The zero value has not been anywhere. It is immutable.
type Attempt struct {
	// Sent counts how often the request was sent, and Begun the backend servers that may have begun it.
	Sent  int
	Begun int
	// MayHaveRun says that one of them may have run it.
	MayHaveRun bool
	// Excluded lists the lives that should not be tried again.
	Excluded []string
}

// WithResult returns the attempt after a backend server.
func (a Attempt) WithResult(life string, r attemptresult.Status) Attempt {
	switch r {
	case attemptresult.Unsent, attemptresult.Unreachable:
	case attemptresult.Refused, attemptresult.NotOwner, attemptresult.Replaced:
		a.Sent++
	case attemptresult.Answered, attemptresult.Failed, attemptresult.Silent, attemptresult.Left:
		a.Sent++
		a.Begun++
		a.MayHaveRun = true
	}
	if r != attemptresult.NotOwner && r != attemptresult.Unsent {
		a.Excluded = append(a.Excluded[:len(a.Excluded):len(a.Excluded)], life)
	}
	return a
}

// MayRepeat reports whether the request may be sent once more: where it can't have run, or may run more than once, and
// the route, the time and the budget allow it. The budget is asked last, since asking draws on it.
func (a Attempt) MayRepeat(of *rule.Rule, left, needed time.Duration, draw func() bool) bool {
	switch {
	case a.MayHaveRun && !of.MayRepeat, left < needed:
		return false
	case a.Sent == 0:
		return true
	}
	return a.Begun < max(1, of.MaxAttempts) && draw()
}

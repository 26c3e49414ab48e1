package attempt_test

import (
	"testing"
	"time"

	"redwingsill/core/attempt"
	"redwingsill/core/attemptresult"
	"redwingsill/core/rule"
)

func TestMayRetry(t *testing.T) {
	statuses := func(all ...attemptresult.Status) []attemptresult.Status { return all }
	for _, c := range []struct {
		name         string
		isIdempotent bool
		maxAttempts  int
		statuses     []attemptresult.Status
		left         time.Duration
		noBudget     bool
		want         bool
	}{
		{"never sent, no budget", false, 1, statuses(attemptresult.Unreachable), time.Second, true, true},
		{"refused twice, not run", false, 1, statuses(attemptresult.Refused, attemptresult.Refused), time.Second, false, true},
		{"refused, no budget", false, 2, statuses(attemptresult.Refused), time.Second, true, false},
		{"not idempotent, failed", false, 3, statuses(attemptresult.Failed), time.Second, false, false},
		{"not idempotent, no response", false, 3, statuses(attemptresult.TimedOut), time.Second, false, false},
		{"not idempotent, refused after it may have run", false, 3, statuses(attemptresult.TimedOut, attemptresult.Refused), time.Second, false, false},
		{"idempotent, failed", true, 2, statuses(attemptresult.Failed), time.Second, false, true},
		{"idempotent, no attempts left", true, 2, statuses(attemptresult.Failed, attemptresult.TimedOut), time.Second, false, false},
		{"idempotent, failed, no budget", true, 2, statuses(attemptresult.Failed), time.Second, true, false},
		{"too little time left", true, 2, statuses(attemptresult.Refused), time.Millisecond, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h attempt.History
			for _, r := range c.statuses {
				h = h.WithResult("s", r)
			}
			got := h.MayRetry(&rule.Rule{IsIdempotent: c.isIdempotent, MaxAttempts: c.maxAttempts}, c.left, 30*time.Millisecond,
				func() bool { return !c.noBudget })
			if got != c.want {
				t.Errorf("may retry: %v, want %v", got, c.want)
			}
		})
	}
}

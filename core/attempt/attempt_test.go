package attempt_test

import (
	"testing"
	"time"

	"redwingsill/core/attempt"
	"redwingsill/core/attemptresult"
	"redwingsill/core/rule"
)

func TestMayRepeat(t *testing.T) {
	results := func(all ...attemptresult.Status) []attemptresult.Status { return all }
	for _, c := range []struct {
		name     string
		repeats  bool
		attempts int
		results  []attemptresult.Status
		left     time.Duration
		noBudget bool
		want     bool
	}{
		{"nothing was sent", false, 1, results(attemptresult.Unreachable), time.Second, true, true},
		{"refused, and nothing has run", false, 1, results(attemptresult.Refused, attemptresult.Refused), time.Second, false, true},
		{"refused, without budget", false, 2, results(attemptresult.Refused), time.Second, true, false},
		{"work that must not repeat has failed", false, 3, results(attemptresult.Failed), time.Second, false, false},
		{"work that must not repeat was silent", false, 3, results(attemptresult.Silent), time.Second, false, false},
		{"work that must not repeat is refused after it may have run", false, 3, results(attemptresult.Silent, attemptresult.Refused), time.Second, false, false},
		{"work that may repeat has failed", true, 2, results(attemptresult.Failed), time.Second, false, true},
		{"work that may repeat has used its attempts", true, 2, results(attemptresult.Failed, attemptresult.Silent), time.Second, false, false},
		{"work that may repeat, without budget", true, 2, results(attemptresult.Failed), time.Second, true, false},
		{"too little time is left", true, 2, results(attemptresult.Refused), time.Millisecond, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a attempt.Attempt
			for _, r := range c.results {
				a = a.WithResult("s", r)
			}
			got := a.MayRepeat(&rule.Rule{MayRepeat: c.repeats, MaxAttempts: c.attempts}, c.left, 30*time.Millisecond,
				func() bool { return !c.noBudget })
			if got != c.want {
				t.Errorf("may repeat: %v, want %v", got, c.want)
			}
		})
	}
}

package coldcheck_test

import (
	"testing"
	"time"

	"redwingsill/core/coldcheck"
)

// Guards against health requests without bound while many servers are slow for another reason.
func TestChecksAreBounded(t *testing.T) {
	var checks coldcheck.Checks
	asked, now := map[string]int{}, time.Unix(1000, 0)
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if incarnation, ok := checks.Next([]string{"a@1", "b@1", "c@1"}, now); ok {
			checks = checks.With(incarnation, now)
			asked[incarnation]++
		}
	}
	if asked["a@1"] < 6 || asked["b@1"] < 6 || asked["c@1"] < 6 || asked["a@1"]+asked["b@1"]+asked["c@1"] > 20 {
		t.Errorf("three suspects were checked %v times in 20 s, want 6 or 7 times each", asked)
	}
	checks, total := coldcheck.Checks{}, 0
	many := make([]string, 200)
	for i := range many {
		many[i] = string(rune('a' + i))
	}
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if incarnation, ok := checks.Next(many, now); ok {
			checks, total = checks.With(incarnation, now), total+1
		}
	}
	if total != 20 {
		t.Errorf("%d checks of 200 suspects in 20 s, want 20", total)
	}
}

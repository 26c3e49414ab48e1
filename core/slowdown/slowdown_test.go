package slowdown_test

import (
	"testing"
	"time"

	"redwingsill/core/slowdown"
)

const millisecond = time.Millisecond

// An old report must not keep requests from a machine that has its usual speed again, nor an implausible one.
func TestOnlyAFreshPlausibleReportCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		percent int
		age     time.Duration
		want    float64
		extra   time.Duration
	}{
		{"usual", 100, 0, 1, 0},
		{"slow, short work", 300, 0, 3, 80 * millisecond},
		{"slow, half of its time is over", 300, 150 * millisecond, 3, 33 * millisecond},
		{"slow, old", 300, 201 * millisecond, 1, 0},
		{"fast", 50, 0, 0.5, 0},
		{"not reported", 0, 0, 1, 0},
		{"negative", -300, 0, 1, 0},
		{"implausible", 1 << 30, 0, 1, 0},
	} {
		s := slowdown.New(c.percent, now)
		if got := s.Factor(now.Add(c.age)); got != c.want {
			t.Errorf("%s: factor %v, want %v", c.name, got, c.want)
		}
		if got := s.Extra(40*millisecond, now.Add(c.age)).Truncate(millisecond); got != c.extra {
			t.Errorf("%s: %v longer, want %v", c.name, got, c.extra)
		}
	}
	if slowdown.IsNotable(0) || slowdown.IsNotable(110) || !slowdown.IsNotable(300) || !slowdown.IsNotable(50) {
		t.Error("a report near the usual speed is told to other hosts, or another one is not")
	}
}

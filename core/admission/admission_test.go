package admission_test

import (
	"testing"
	"time"

	"redwingsill/core/admission"
)

// A request must be refused under overload if it would hardly be in time, and without overload only if it can't be answered at all.
func TestIsRefused(t *testing.T) {
	base := admission.Admission{Wait: 100 * time.Millisecond, ServiceTime: 160 * time.Millisecond, Deviation: 40 * time.Millisecond,
		ToObjective: 500 * time.Millisecond, ToDeadline: 1200 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(*admission.Admission)
		want   bool
	}{
		{"no overload, in time", func(*admission.Admission) {}, false},
		{"no overload, late", func(a *admission.Admission) { a.Wait = time.Second }, false},
		{"no overload, beyond the deadline", func(a *admission.Admission) { a.Wait = 1150 * time.Millisecond }, true},
		{"overload, in time", func(a *admission.Admission) { a.Load = 2 }, false},
		{"overload, just in time", func(a *admission.Admission) { a.Load, a.Wait = 2, 250*time.Millisecond }, true},
		{"overload, just in time, a further attempt", func(a *admission.Admission) { a.Load, a.Wait, a.IsRetry = 2, 250*time.Millisecond, true }, false},
		{"overload, a slow server", func(a *admission.Admission) { a.Load, a.ServiceTime = 2, 600*time.Millisecond }, true},
		{"overload, a slow server with a free slot", func(a *admission.Admission) { a.Load, a.ServiceTime, a.Wait = 2, 600*time.Millisecond, 0 }, false},
		{"overload, a caller whose objective has passed", func(a *admission.Admission) { a.Load, a.ToObjective = 2, -time.Second }, true},
	} {
		a := base
		c.change(&a)
		if got := a.IsRefused(); got != c.want {
			t.Errorf("%s: refused %t, want %t", c.name, got, c.want)
		}
	}
}

// Refused callers must be told a time that they honour, if there is room by then, must not return as a wave, and must be told the truth
// otherwise.
func TestRetryAfter(t *testing.T) {
	a := admission.Admission{Wait: 300 * time.Millisecond, ServiceTime: 160 * time.Millisecond, ToObjective: 500 * time.Millisecond,
		ToDeadline: 1200 * time.Millisecond, Load: 2}
	seen := map[time.Duration]bool{}
	for ticket := range uint64(100) {
		after := a.RetryAfter(ticket)
		if after < 50*time.Millisecond || after > 400*time.Millisecond {
			t.Errorf("a caller is told %v, with room after 130 ms and at most 400 ms honoured", after)
		}
		seen[after.Truncate(10*time.Millisecond)] = true
	}
	if len(seen) < 10 {
		t.Errorf("100 callers return within %d spans of 10 ms, want at least 10", len(seen))
	}
	a.Wait = 2 * time.Second
	if after := a.RetryAfter(1); after < 1500*time.Millisecond {
		t.Errorf("a caller is told %v, though room is expected only after 1.8 s", after)
	}
}

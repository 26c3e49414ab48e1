package arrivalrate_test

import (
	"testing"
	"time"

	"redwingsill/core/arrivalrate"
)

// An overload must be noticed within a second and forgotten soon after, and the less urgent ranks must not count for the more urgent.
func TestRateFollowsArrivals(t *testing.T) {
	now := time.Unix(1000, 0)
	var r arrivalrate.Rate
	for range 200 { // 20 a second of rank 0, 20 of rank 2
		now = now.Add(50 * time.Millisecond)
		r = r.With(0, now).With(2, now)
	}
	expect := func(name string, got, low, high float64) {
		t.Helper()
		if got < low || got > high {
			t.Errorf("%s: %.1f a second, want %v to %v", name, got, low, high)
		}
	}
	expect("all ranks", r.PerSecond(now), 38, 42)
	expect("more urgent than rank 2", r.MoreUrgentPerSecond(2, now), 19, 21)
	expect("more urgent than rank 0", r.MoreUrgentPerSecond(0, now), 0, 0)
	expect("three seconds later", r.PerSecond(now.Add(3*time.Second)), 4, 6)
	for range 100 { // 100 a second for one second
		now = now.Add(10 * time.Millisecond)
		r = r.With(0, now)
	}
	expect("a second into a burst", r.PerSecond(now), 60, 80)
	expect("none yet", arrivalrate.Rate{}.PerSecond(now), 0, 0)
}

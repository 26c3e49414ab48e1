package serverspeed_test

import (
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/serverspeed"
)

// Guards against capacities that follow a machine's slow moment, or that lose the servers' differences when the measured
// factors drift: here all slownesses are a third of what they are, and the mean service time is three times as long.
func TestCapacities(t *testing.T) {
	members := []instance.Instance{{ID: "slow", Slots: 3}, {ID: "mean", Slots: 3}, {ID: "fast", Slots: 3}}
	slow, mean, fast := members[0].Incarnation(), members[1].Incarnation(), members[2].Incarnation()
	now, speeds := time.Unix(1000, 0), serverspeed.New()
	play := func(factor float64, d time.Duration) map[string]float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			speeds = speeds.With(map[string]float64{slow: 2. / 3, mean: factor / 3, fast: 2. / 9}, 600*time.Millisecond, now)
		}
		return speeds.Capacities(members)
	}
	c := play(1, 10*time.Second)
	if c[slow] > 0.55*c[mean] || c[slow] < 0.45*c[mean] || c[fast] < 1.4*c[mean] {
		t.Errorf("the capacities are %v", c)
	}
	if got := speeds.ServiceTime(); got < 190*time.Millisecond || got > 210*time.Millisecond {
		t.Errorf("the service time is %v, want 200ms", got)
	}
	if next := play(3, 400*time.Millisecond); next[mean] < 0.7*c[mean] {
		t.Errorf("after a slow moment the capacity is %v instead of %v", next[mean], c[mean])
	}
	if next := play(3, 10*time.Second); next[mean] > 0.5*c[mean] {
		t.Errorf("after 10 s the capacity is %v instead of a third of %v", next[mean], c[mean])
	}
}

package steadyrates_test

import (
	"testing"
	"time"

	"redwingsill/core/keyrange"
	"redwingsill/core/keyrates"
	"redwingsill/core/steadyrates"
)

// Guards against shares that follow keys that are hot for seconds only, or that never follow a lasting change.
func TestHotKeyCountsOnlyIfItLasts(t *testing.T) {
	keys, even, hot := make([]int, 2048), make([]float64, 2048), make([]float64, 2048)
	for i := range keys {
		keys[i], even[i], hot[i] = i*32+5, 0.5, 0.5
	}
	hot[100] = 250
	now, steady := time.Unix(1000, 0), steadyrates.New()
	play := func(rates []float64, d time.Duration) float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(400 * time.Millisecond) {
			steady = steady.With(keyrates.New(keys, rates), now)
		}
		return steady.Rates().Sum(keyrange.Range{From: 3200, To: 3231})
	}
	if rate := play(even, 10*time.Second); rate < 0.49 || rate > 0.51 {
		t.Errorf("the rate is %v, want 0.5", rate)
	}
	if rate := play(hot, 4*time.Second); rate > 2 {
		t.Errorf("the rate is %v after 4 s, want 2 or less", rate)
	}
	if rate := play(hot, 2*time.Minute); rate < 200 {
		t.Errorf("the rate is %v after 2 min, want almost 250", rate)
	}
}

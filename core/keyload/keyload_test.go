package keyload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"redwingsill/core/keyload"
	"redwingsill/core/keyrange"
)

// Guards against rates that follow hot keys too late: they last some seconds. The load is 600 requests a second for 200
// neighbouring keys for 4 s, beside 900 for all keys.
func TestRatesFollowHotKeys(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	load, start := keyload.New(), time.Unix(1000, 0)
	bounds := map[time.Duration][2]float64{200 * time.Millisecond: {250, 900}, 400 * time.Millisecond: {400, 850}, time.Second: {480, 750},
		3 * time.Second: {520, 680}, 4400 * time.Millisecond: {0, 350}, 5 * time.Second: {0, 120}}
	for since := -3 * time.Second; since <= 5*time.Second; since += time.Millisecond {
		if rng.Float64() < 0.9 {
			load = load.WithRequest(rng.IntN(keyrange.MaxKey+1), start.Add(since))
		}
		if since >= 0 && since < 4*time.Second && rng.Float64() < 0.6 {
			load = load.WithRequest(30000+rng.IntN(200), start.Add(since))
		}
		if b, ok := bounds[since]; ok {
			if rate := load.Rates(start.Add(since)).Sum(keyrange.Range{From: 30000, To: 30199}); rate < b[0] || rate > b[1] {
				t.Errorf("after %v the rate is %.0f, want %.0f to %.0f", since, rate, b[0], b[1])
			}
		}
	}
}

package slidingbudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/slidingbudget"
)

// TestWindow draws requests and repeats and checks every span of a window's length.
func TestWindow(t *testing.T) {
	const window, ratio, extra = 10 * time.Second, 0.2, 6.0
	rapid.Check(t, func(t *rapid.T) {
		b := slidingbudget.New(window, ratio*0.88, extra)
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(10, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b = b.WithRequest(now)
				requests = append(requests, now)
				continue
			}
			var ok bool
			if b, ok = b.WithRepeat(now); ok {
				repeats = append(repeats, now)
			}
			in := func(all []time.Time, span time.Duration) float64 {
				n := 0
				for _, at := range all {
					if now.Sub(at) < span {
						n++
					}
				}
				return float64(n)
			}
			// The requests of the part of a window before count too, as hosts count in parts.
			if got, allowed := in(repeats, window), ratio*in(requests, window+window/10)+extra; got > allowed {
				t.Fatalf("%v repeats in a window that allows %v", got, allowed)
			}
		}
	})
}

func TestExtraComesBack(t *testing.T) {
	b := slidingbudget.New(10*time.Second, 0, 1)
	now := time.Unix(1000, 0)
	b, first := b.WithRepeat(now)
	b, second := b.WithRepeat(now.Add(9 * time.Second))
	_, third := b.WithRepeat(now.Add(12 * time.Second))
	if !first || second || !third {
		t.Errorf("repeats: %v, %v, %v; want true, false, true", first, second, third)
	}
}

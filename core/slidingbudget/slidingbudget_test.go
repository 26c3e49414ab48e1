package slidingbudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/slidingbudget"
)

// TestWindow draws requests and retries, and checks the limit in the window that ends at each retry.
func TestWindow(t *testing.T) {
	const window, ratio, extra = 10 * time.Second, 0.2, 6.0
	rapid.Check(t, func(t *rapid.T) {
		b := slidingbudget.New(window, ratio*0.88, extra) // a host uses 0.88 of the ratio, since a count can cover 1.1 windows
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(10, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b = b.WithRequest(now)
				requests = append(requests, now)
				continue
			}
			var ok bool
			if b, ok = b.WithRetry(now); ok {
				retries = append(retries, now)
			}
			countWithin := func(all []time.Time, span time.Duration) float64 {
				n := 0
				for _, at := range all {
					if now.Sub(at) < span {
						n++
					}
				}
				return float64(n)
			}
			// Requests of one more segment count too, since a segment expires as a whole.
			if got, allowed := countWithin(retries, window), ratio*countWithin(requests, window+window/10)+extra; got > allowed {
				t.Fatalf("%v retries in a window that allows %v", got, allowed)
			}
		}
	})
}

// The extra retries must be available again once the window has passed.
func TestExtraComesBack(t *testing.T) {
	b := slidingbudget.New(10*time.Second, 0, 1)
	now := time.Unix(1000, 0)
	b, first := b.WithRetry(now)
	b, second := b.WithRetry(now.Add(9 * time.Second))
	_, third := b.WithRetry(now.Add(12 * time.Second))
	if !first || second || !third {
		t.Errorf("retries: %v, %v, %v; want true, false, true", first, second, third)
	}
}

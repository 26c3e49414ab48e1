package transfer_test

import (
	"testing"
	"time"

	"redwingsill/core/transfer"
)

// A body must count as long as it is to cross the link, and no longer: bodies that only wait, or whose callers are slow, would
// otherwise keep others out of an idle link.
func TestBodyCountsWhileItIsToCrossTheLink(t *testing.T) {
	const rate, horizon = 1e6, 200 * time.Millisecond
	start := time.Unix(1000, 0)
	fresh := transfer.New(60_000, start)
	whole := fresh.WithRead(60_000).WithWhole()
	for _, c := range []struct {
		name              string
		body              transfer.Transfer
		at                time.Duration
		queued, remaining float64
	}{
		{"admitted", fresh, 0, 120_000, 120_000},
		{"half read", fresh.WithRead(30_000), 30 * time.Millisecond, 90_000, 90_000},
		{"silent caller", fresh, time.Second, 0, 120_000},
		{"slow caller", fresh.WithRead(10_000), time.Second, 2_000, 110_000},
		{"waits for a server", whole, time.Second, 0, 60_000},
		{"is being sent", whole.WithSending(start.Add(time.Second)), time.Second, 60_000, 60_000},
		{"half sent", whole.WithSending(start.Add(time.Second)), 1060 * time.Millisecond, 30_000, 30_000},
		{"sent", whole.WithSending(start.Add(time.Second)), 1200 * time.Millisecond, 0, 0},
		{"sent again", whole.WithSending(start).WithSending(start.Add(time.Second)), time.Second, 60_000, 60_000},
		{"shorter than announced", fresh.WithRead(10_000).WithWhole(), 0, 0, 10_000},
		{"longer than assumed", fresh.WithRead(100_000), 0, 100_000, 100_000},
	} {
		now := start.Add(c.at)
		if got := c.body.Queued(now, rate, horizon); got != c.queued {
			t.Errorf("%s: %.0f bytes are queued, want %.0f", c.name, got, c.queued)
		}
		if got := c.body.Remaining(now, rate); got != c.remaining {
			t.Errorf("%s: %.0f bytes remain, want %.0f", c.name, got, c.remaining)
		}
	}
}

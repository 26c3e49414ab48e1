package ownership_test

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownership"
)

// The holder starts again under its ID and address when the new coordinator has moved its keys. The old coordinator knows
// of neither.
func TestLaterLifeTakesNoGrantOfAnEarlierCoordinator(t *testing.T) {
	isReachableSince := func(since time.Duration) func(ownership.Ownership) ownership.Ownership {
		return func(o ownership.Ownership) ownership.Ownership { return o.WithStoreReachableSince(elected.Add(since)) }
	}
	for _, c := range []struct {
		name string
		// leaseEnd is the end of the old coordinator's lease as it knows it, and storeDownUntil the time until which it finds
		// the store unreachable, both counted from the election. withKnowledge applies what the new coordinator knows.
		leaseEnd, storeDownUntil time.Duration
		withKnowledge            func(ownership.Ownership) ownership.Ownership
		maxDelay                 time.Duration
	}{
		{"the lease ended in time", 0, -time.Hour, isReachableSince(-time.Hour), 3 * time.Second},
		{"the store ended the lease early", lease, -time.Hour, isReachableSince(-time.Hour), 3 * time.Second},
		{"the store was unreachable until after the election", 0, 2 * time.Second, isReachableSince(2 * time.Second), 5 * time.Second},
		{"the last reports of an outage are old", 0, 2200*time.Millisecond + modelTiming.ReportAge, isReachableSince(2200 * time.Millisecond), 5 * time.Second},
		{"nothing is known", lease, time.Hour, func(o ownership.Ownership) ownership.Ownership { return o }, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			arrivedAt, movedAt := lastOldGrantAndMove(elected.Add(c.leaseEnd), elected.Add(c.storeDownUntil), c.withKnowledge)
			if arrivedAt.IsZero() || movedAt.Before(arrivedAt) {
				t.Errorf("the keys were granted to %s %v after the election; the later life may take them from the earlier coordinator until %v after it",
					successor.ID, movedAt.Sub(elected), arrivedAt.Sub(elected))
			}
			if movedAt.Sub(elected) > c.maxDelay {
				t.Errorf("moved %v after the election, want %v at most", movedAt.Sub(elected), c.maxDelay)
			}
		})
	}
}

// lastOldGrantAndMove returns when the last grant of an old coordinator to the holder has arrived at the latest, and when
// the new coordinator, whose every command succeeds at once, first grants the successor keys of the holder, which leaves.
func lastOldGrantAndMove(leaseEnd, storeDownUntil time.Time, withKnowledge func(ownership.Ownership) ownership.Ownership) (arrivedAt, movedAt time.Time) {
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: holder.Incarnation(), Fence: 1})
	start := elected.Add(-time.Minute)
	previous := withListed(ownership.New(modelTiming, keys, 10, start), []instance.Instance{holder}, start)
	next := withKnowledge(withListed(ownership.New(modelTiming, keys, 10, elected), []instance.Instance{holder.WithLeaving(elected), successor}, elected))
	for now := elected.Add(-3 * time.Second); now.Before(elected.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		if previous = previous.WithLease(leaseEnd); !now.After(storeDownUntil) {
			previous = previous.WithStoreUnreachable(now)
		}
		state, commands := previous.WithTick(&model{now: now, load: keyload.New()}, now)
		previous = state
		for _, c := range commands {
			if g, ok := c.(command.Grant); ok {
				arrivedAt = now.Add(modelTiming.CallTimeout)
				previous = previous.WithGrantResults([]command.Completion{{ID: g.ID, Result: command.Done}}, now)
			}
		}
		if now.Before(elected) {
			continue
		}
		next, commands = next.WithLease(now.Add(lease)).WithTick(&model{now: now, load: keyload.New()}, now)
		for _, c := range commands {
			switch c := c.(type) {
			case command.Grant:
				if c.To.ID == successor.ID && movedAt.IsZero() {
					movedAt = now
				}
				next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, now)
			case command.Release:
				next = next.WithReleaseResult(c.ID, command.Answer{Result: command.Done}, now)
			case command.Save:
				next = next.WithSaveResult(c, command.Done, now)
			}
		}
	}
	return arrivedAt, movedAt
}

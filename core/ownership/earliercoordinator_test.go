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

// The holder starts again under its ID and address when the new coordinator has moved its keys. The old coordinator has
// lost the store and knows of neither.
func TestLaterLifeTakesNoGrantOfAnEarlierCoordinator(t *testing.T) {
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: holder.Incarnation(), Fence: 1})
	start := elected.Add(-time.Minute)
	previous := withListed(ownership.New(modelTiming, keys, 10, start), []instance.Instance{holder}, start).WithLease(elected)
	next := withListed(ownership.New(modelTiming, keys, 10, elected), []instance.Instance{holder.WithLeaving(elected), successor}, elected)
	var acquiredAt time.Time
	for now := elected; now.Before(elected.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		state, commands := next.WithLease(now.Add(lease)).WithTick(&model{now: now, load: keyload.New()}, now)
		next = state
		for _, c := range commands {
			switch c := c.(type) {
			case command.Grant:
				if c.To.ID == successor.ID && acquiredAt.IsZero() {
					acquiredAt = now
				}
				next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, now)
			case command.Release:
				next = next.WithReleaseResult(c.ID, command.Answer{Result: command.Done}, now)
			case command.Save:
				next = next.WithSaveResult(c, command.Done, now)
			}
		}
		if !previous.IsActing(now) {
			continue
		}
		previous, commands = previous.WithTick(&model{now: now, load: keyload.New()}, now)
		for _, c := range commands {
			if g, ok := c.(command.Grant); ok {
				if !acquiredAt.IsZero() && now.After(acquiredAt) {
					t.Fatalf("the later life takes the keys %v from the earlier coordinator, %v after they were granted to %s", g.Range, now.Sub(acquiredAt), successor.ID)
				}
				previous = previous.WithGrantResults([]command.Completion{{ID: g.ID, Result: command.Done}}, now)
			}
		}
	}
}

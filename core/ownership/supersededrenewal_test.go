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

// The earlier coordinator raised the token before it was lost. Its owner can't be asked for a release yet.
func TestOwnerGetsRequestsWhileItsRefusedRenewalCannotLeadToAMove(t *testing.T) {
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: holder.Incarnation(), Fence: 1})
	o := withListed(ownership.New(modelTiming, keys, 10, elected), []instance.Instance{holder, successor}, elected).WithStoreReachableSince(elected.Add(-time.Hour))
	hasMoved := false
	for now := elected; now.Before(elected.Add(8 * time.Second)); now = now.Add(20 * time.Millisecond) {
		next, commands := o.WithLease(now.Add(lease)).WithTick(&model{now: now, load: keyload.New()}, now)
		for _, c := range commands {
			switch c := c.(type) {
			case command.Grant:
				result := command.Done
				if c.Fence <= 10 {
					result = command.Stale
				}
				next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: result}}, now)
			case command.Release:
				hasMoved = true
				next = next.WithReleaseResult(c.ID, command.Answer{Result: command.Done}, now)
			case command.Save:
				next = next.WithSaveResult(c, command.Done, now)
			}
		}
		o = next
		if unserved := o.Unserved(); len(unserved) > 0 && now.Sub(elected) < modelTiming.LeaseDuration {
			t.Fatalf("%v after the election %v gets no requests, want the owner to serve until moves may begin after %v", now.Sub(elected), unserved, modelTiming.LeaseDuration)
		}
	}
	if !hasMoved {
		t.Error("the keys were never released")
	}
}

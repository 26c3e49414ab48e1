package ownership_test

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/ownership"
)

// The store may end a lease before its holder, which no longer reaches the store, expects it to.
func TestSilentOwnersKeysMoveAfterTheGrantsOfACoordinatorWhoseLeaseEndedEarly(t *testing.T) {
	keys, silent, other := twoOwners()
	start := elected.Add(-time.Minute)
	old := withListed(ownership.New(modelTiming, keys, 10, start), []instance.Instance{silent, other}, start)
	var heldUntil time.Time
	for now := elected.Add(-time.Second); now.Before(elected.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
		old = old.WithLease(elected.Add(lease - 200*time.Millisecond))
		next, commands := old.WithTick(&model{now: now, load: keyload.New()}, now)
		old = next
		for _, c := range commands {
			if g, ok := c.(command.Grant); ok {
				old = old.WithGrantResults([]command.Completion{{ID: g.ID, Result: command.Done}}, now)
				if g.To.ID == silent.ID {
					heldUntil = now.Add(g.HoldTime * 102 / 100)
				}
			}
		}
	}
	moved := silentServerMovedAt(func(o ownership.Ownership) ownership.Ownership {
		return o.WithStoreReachableSince(elected.Add(-time.Hour))
	})
	if moved.Before(heldUntil) {
		t.Errorf("moved %v after the election, but the old owner may hold the keys until %v after it", moved.Sub(elected), heldUntil.Sub(elected))
	}
}

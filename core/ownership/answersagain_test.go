package ownership_test

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownership"
)

func TestOwnerThatAnswersAfterAReplacementKeepsItsKeys(t *testing.T) {
	now := time.Unix(7_000_000, 0)
	keys := keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 999}, Owner: holder.Incarnation(), Fence: 1},
		holding.Holding{Range: keyrange.Range{From: 1000, To: keyrange.MaxKey}, Owner: holder.Incarnation(), Fence: 2})
	r := &coordinatorRun{state: ownership.New(modelTiming, keys, 0, now), now: now, grantedAt: map[string]time.Time{}}
	r.runFor(modelTiming.RenewInterval, holder)
	r.now = r.now.Add(modelTiming.RenewInterval)
	next, commands := r.state.WithLease(r.now.Add(lease)).WithTick(&model{now: r.now, load: keyload.New()}, r.now)
	result := command.Replaced
	for _, c := range commands {
		if g, ok := c.(command.Grant); ok {
			next = next.WithGrantResults([]command.Completion{{ID: g.ID, Result: result}}, r.now)
			result, r.grantedAt[g.To.Incarnation()] = command.Done, r.now
		}
	}
	r.state = next
	r.requireHoldKept(t, successor)
}

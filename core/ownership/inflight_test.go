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

// The grant may reach a later incarnation with the owner's ID, which starts at the address where another server answered.
func TestKeysOfAnEndedOwnerAreNotGivenOnWhileAGrantOfThemIsInFlight(t *testing.T) {
	now := time.Unix(6_000_000, 0)
	low, high := keyrange.Range{From: 0, To: 999}, keyrange.Range{From: 1000, To: keyrange.MaxKey}
	state := ownership.New(modelTiming, keymap.New(holding.Holding{Range: low, Owner: holder.Incarnation(), Fence: 1},
		holding.Holding{Range: high, Owner: holder.Incarnation(), Fence: 2}), 0, now)
	var acquiredAt, resultAt time.Time
	var inFlight int64
	isEnded, members := false, []instance.Instance{holder}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			next, commands := state.WithMembers(members, now).WithLease(now.Add(lease)).WithTick(&model{now: now, load: keyload.New()}, now)
			state = next
			for _, c := range commands {
				switch c := c.(type) {
				case command.Grant:
					result := command.Done
					switch {
					case c.To.ID == successor.ID && low.Overlaps(c.Range) && acquiredAt.IsZero():
						acquiredAt = now
					case c.To.ID == holder.ID && isEnded && inFlight == 0 && c.Range == low:
						inFlight = c.ID
						continue
					case c.To.ID == holder.ID && isEnded:
						result = command.Replaced
					}
					state = state.WithGrantResults([]command.Completion{{ID: c.ID, Result: result}}, now)
				case command.Release:
					result := command.Done
					if c.From.ID == holder.ID && isEnded {
						result = command.Replaced
					}
					state = state.WithReleaseResult(c.ID, command.Answer{Result: result}, now)
				case command.Save:
					state = state.WithSaveResult(c, command.Done, now)
				}
			}
		}
	}
	run(400 * time.Millisecond)
	isEnded = true
	run(modelTiming.RenewInterval)
	if inFlight == 0 {
		t.Fatal("the holder's grants were not renewed")
	}
	members = []instance.Instance{holder, successor}
	run(modelTiming.CallTimeout / 2)
	if !acquiredAt.IsZero() {
		t.Errorf("the successor was granted keys while a grant of them to their owner was in flight")
	}
	state, resultAt = state.WithGrantResults([]command.Completion{{ID: inFlight, Result: command.Unsent}}, now), now
	run(2 * modelTiming.RetryDelay)
	if acquiredAt.Before(resultAt) {
		t.Errorf("the keys were acquired at %v; want soon after %v, when the grant in flight had a result", acquiredAt, resultAt)
	}
}

// The grant may reach a later incarnation with the owner's ID and address, which has seen no tokens.
func TestKeysAreNotGivenOnWhileAGrantOfThemToTheirOwnerIsInFlight(t *testing.T) {
	now := time.Unix(6_000_000, 0)
	start := now
	state := ownership.New(modelTiming, keymap.New(), 0, now)
	inFlight := map[int64]bool{} // the grants to the holder that were sent before its entry ended and have no result
	var acquiredAt, releasedAt time.Time
	run := func(d time.Duration, isHolderListed bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			members := []instance.Instance{successor}
			if isHolderListed {
				members = []instance.Instance{holder}
			}
			next, commands := state.WithMembers(members, now).WithLease(now.Add(lease)).WithTick(&model{now: now, load: keyload.New()}, now)
			for _, c := range commands {
				switch c := c.(type) {
				case command.Grant:
					if isHolderListed && now.Sub(start) > 2*time.Second {
						inFlight[c.ID] = true
						continue
					}
					if c.To.ID == successor.ID && acquiredAt.IsZero() {
						acquiredAt = now
					}
					next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, now)
				case command.Release:
					releasedAt = now
					next = next.WithReleaseResult(c.ID, command.Answer{Result: command.Done}, now)
				case command.Save:
					next = next.WithSaveResult(c, command.Done, now)
				}
			}
			state = next
		}
	}
	run(2*time.Second, true)
	for len(inFlight) == 0 {
		run(20*time.Millisecond, true)
	}
	run(modelTiming.CallTimeout/2, false)
	if !acquiredAt.IsZero() {
		t.Errorf("the successor was granted keys while a grant of them to their owner was in flight")
	}
	for id := range inFlight {
		state = state.WithGrantResults([]command.Completion{{ID: id, Result: command.Lost}}, now)
	}
	resultAt := now
	run(2*modelTiming.RetryDelay, false)
	if acquiredAt.IsZero() || releasedAt.Before(resultAt) {
		t.Errorf("%v after the result of the grant in flight, the keys were acquired at %v, released at %v; want a release after that result, and then the move",
			now.Sub(resultAt), acquiredAt, releasedAt)
	}
}

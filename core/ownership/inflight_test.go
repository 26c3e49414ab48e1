package ownership_test

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/ownership"
)

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

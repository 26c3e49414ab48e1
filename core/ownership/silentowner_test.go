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

// silentRun drives a coordinator against a holder that stops answering, as a frozen process does, and a successor that
// acknowledges every command at once. Writes to the store succeed at once.
type silentRun struct {
	state    ownership.Ownership
	now      time.Time
	isSilent bool
	// results are the results that are due at the given times.
	results map[time.Time][]func(ownership.Ownership) ownership.Ownership
	// acquiredAt is when the successor was first granted keys, or the zero time.
	acquiredAt time.Time
	fencings   int
	handover   string
}

func newSilentRun() *silentRun {
	now := time.Unix(5_000_000, 0)
	return &silentRun{state: ownership.New(modelTiming, keymap.New(), 0, now), now: now,
		results: map[time.Time][]func(ownership.Ownership) ownership.Ownership{}}
}

func (r *silentRun) runFor(d time.Duration, members ...instance.Instance) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		for _, apply := range r.results[r.now] {
			r.state = apply(r.state)
		}
		next, commands := r.state.WithMembers(members, r.now).WithLease(r.now.Add(lease)).WithTick(&model{now: r.now, load: keyload.New()}, r.now)
		r.state = next
		for _, c := range commands {
			r.execute(c)
		}
	}
}

func (r *silentRun) execute(c command.Command) {
	result, delay := command.Done, time.Duration(0)
	apply := func(o ownership.Ownership) ownership.Ownership { return o }
	switch c := c.(type) {
	case command.Grant:
		if r.isSilent && c.To.ID == holder.ID {
			result, delay = command.Lost, modelTiming.CallTimeout
		}
		if c.To.ID == successor.ID && r.acquiredAt.IsZero() {
			r.acquiredAt, r.handover = r.now, c.Handover
		}
		if c.To.ID == holder.ID && len(r.state.Unserved()) > 0 {
			r.fencings++
		}
		at := r.now.Add(delay)
		apply = func(o ownership.Ownership) ownership.Ownership {
			return o.WithGrantResults([]command.Completion{{ID: c.ID, Result: result}}, at)
		}
	case command.Release:
		if r.isSilent && c.From.ID == holder.ID {
			result, delay = command.Lost, 500*time.Millisecond
		}
		at := r.now.Add(delay)
		apply = func(o ownership.Ownership) ownership.Ownership {
			return o.WithReleaseResult(c.ID, command.Answer{Result: result, Handover: "state"}, at)
		}
	case command.Save:
		apply = func(o ownership.Ownership) ownership.Ownership { return o.WithSaveResult(c, command.Done, r.now) }
	}
	if delay > 0 {
		r.results[r.now.Add(delay)] = append(r.results[r.now.Add(delay)], apply)
		return
	}
	r.state = apply(r.state)
}

func TestKeysOfAnOwnerThatStopsAnsweringMoveWhenItsGrantsHaveExpired(t *testing.T) {
	r := newSilentRun()
	r.runFor(2*time.Second, holder)
	r.isSilent = true
	r.runFor(3*time.Second, holder)
	goneAt := r.now
	// At the start of the move one more grant, the one that fences, may be sent and lost.
	limit := 2*modelTiming.CallTimeout + modelTiming.HoldTime*1025/1000
	r.runFor(time.Minute, successor)
	if r.acquiredAt.IsZero() || r.acquiredAt.Sub(goneAt) > limit {
		t.Errorf("the keys moved at %v, want within %v after %v", r.acquiredAt, limit, goneAt)
	}
}

func TestOwnerThatAnswersAgainIsFencedBeforeItsKeysMove(t *testing.T) {
	r := newSilentRun()
	r.runFor(2*time.Second, holder)
	r.isSilent = true
	r.runFor(3*time.Second, holder)
	r.runFor(1500*time.Millisecond, successor)
	r.isSilent, r.fencings = false, 0
	r.runFor(2*time.Second, successor)
	if r.acquiredAt.IsZero() || r.fencings == 0 || r.handover != "state" {
		t.Errorf("keys acquired at %v after %d fencing grants, with the handover %q; want at least one grant, and the handover of the release", r.acquiredAt,
			r.fencings, r.handover)
	}
}

package ownership_test

import (
	"slices"
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownership"
	"redwingsill/core/ownershipevent"
)

// eventRun steps a coordinator that starts without a map, and collects its events.
type eventRun struct {
	state  ownership.Ownership
	now    time.Time
	events []ownershipevent.Event
	// grantedUntil is the latest time until which a server whose clock is 2% slow holds keys.
	grantedUntil time.Time
	// replaced is the ID of a server at whose address another one answers, or empty.
	replaced string
}

func newEventRun() *eventRun {
	return &eventRun{state: ownership.New(modelTiming, keymap.New(), 0, elected), now: elected}
}

// run steps for d. All commands succeed, except those to the replaced server, and that releases get no answer if isSilent
// is set.
func (r *eventRun) run(d time.Duration, isSilent bool) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		next, commands := r.state.WithLease(r.now.Add(lease)).WithTick(&model{now: r.now, load: keyload.New()}, r.now)
		for _, c := range commands {
			switch c := c.(type) {
			case command.Save:
				next = next.WithSaveResult(c, command.Done, r.now)
			case command.Grant:
				if c.To.ID == r.replaced {
					next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Replaced}}, r.now)
					continue
				}
				next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, r.now)
				r.grantedUntil = r.now.Add(modelTiming.CallTimeout + c.HoldTime*102/100)
			case command.Release:
				if c.From.ID == r.replaced {
					next = next.WithReleaseResult(c.ID, command.Answer{Result: command.Replaced}, r.now)
				} else if !isSilent {
					next = next.WithReleaseResult(c.ID, command.Answer{Result: command.Done}, r.now)
				}
			}
		}
		r.events = append(r.events, next.Events()...)
		r.state = next.WithoutEvents()
	}
}

// take returns the events since the last call.
func (r *eventRun) take() []ownershipevent.Event {
	events := r.events
	r.events = nil
	return events
}

func TestEventsTellWhyARangeWasFreed(t *testing.T) {
	first := instance.Instance{ID: "first", StartMillis: 1, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	second := instance.Instance{ID: "second", StartMillis: 2, Service: "s", Address: "10.0.0.2:80", Slots: 2}
	all := keyrange.All()
	for _, c := range []struct {
		name     string
		members  []instance.Instance
		isSilent bool
		want     ownershipevent.Reason
	}{
		{"the owner released it", []instance.Instance{first.WithLeaving(elected.Add(time.Hour)), second}, false, ownershipevent.Released},
		{"the owner's grants expired", []instance.Instance{second}, true, ownershipevent.Expired},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newEventRun()
			r.state = r.state.WithMembers([]instance.Instance{first}, r.now)
			r.run(2*time.Second, false)
			started := r.take()
			if !slices.Contains(started, ownershipevent.Event(ownershipevent.RangeFreed{Range: all, Reason: ownershipevent.NoOwner})) ||
				!slices.Contains(started, ownershipevent.Event(ownershipevent.RangeAcquired{Range: all, Owner: "first@1", Fence: 1})) {
				t.Fatalf("the first owner's events are %+v", started)
			}
			granted := r.grantedUntil
			r.state = r.state.WithMembers(c.members, r.now)
			r.run(10*time.Second, c.isSilent)
			moved := r.take()
			freed := slices.IndexFunc(moved, func(e ownershipevent.Event) bool {
				f, ok := e.(ownershipevent.RangeFreed)
				return ok && f.Owner == "first@1" && f.Fence == 1 && f.Reason == c.want
			})
			if freed < 0 {
				t.Fatalf("no range of the first owner was freed for the reason %v: %+v", c.want, moved)
			}
			if until := moved[freed].(ownershipevent.RangeFreed).MayHoldUntil; until.Before(granted) {
				t.Errorf("the grants count until %v, want %v or later", until, granted)
			}
			if !slices.ContainsFunc(moved[freed:], func(e ownershipevent.Event) bool {
				a, ok := e.(ownershipevent.RangeAcquired)
				return ok && a.Owner == "second@2" && a.PreviousOwner == "first@1" && a.Fence > 1
			}) {
				t.Errorf("the second owner acquired nothing from the first: %+v", moved)
			}
		})
	}
}

func TestEventsTellThatAServerHasEnded(t *testing.T) {
	first := instance.Instance{ID: "first", StartMillis: 1, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	next := instance.Instance{ID: "next", StartMillis: 2, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	r := newEventRun()
	r.state = r.state.WithMembers([]instance.Instance{first}, r.now)
	r.run(2*time.Second, false)
	r.take()
	r.replaced = first.ID
	r.state = r.state.WithMembers([]instance.Instance{next}, r.now).WithMembers([]instance.Instance{next}, r.now)
	r.run(time.Second, true)
	events := r.take()
	ended := 0
	for _, e := range events {
		if e == (ownershipevent.ServerEnded{Server: "first@1", Address: first.Address}) {
			ended++
		}
	}
	if ended != 1 {
		t.Errorf("the end was told %d times, want once: %+v", ended, events)
	}
	if !slices.ContainsFunc(events, func(e ownershipevent.Event) bool {
		f, ok := e.(ownershipevent.RangeFreed)
		return ok && f.Owner == "first@1" && f.Reason == ownershipevent.OwnerEnded && f.MayHoldUntil.After(r.now)
	}) {
		t.Errorf("no range was freed because its owner ended: %+v", events)
	}
}

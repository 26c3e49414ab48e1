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

// holder is a live backend server that holds all keys, and successor another server, at another address.
var (
	holder    = instance.Instance{ID: "holder", StartMillis: 2000, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	successor = instance.Instance{ID: "another", StartMillis: 2000, Service: "s", Address: "10.0.0.2:80", Slots: 2}
)

// withListed sets the members of service "s" from the entries that discovery lists for all services.
func withListed(o ownership.Ownership, listed []instance.Instance, now time.Time) ownership.Ownership {
	var members []instance.Instance
	for _, i := range listed {
		if i.Service == "s" {
			members = append(members, i)
		}
	}
	return o.WithMembers(members, now)
}

// coordinatorRun drives the coordinator of one service on a clock of its own. Servers acknowledge grants at once and
// never answer a release, and writes to the store succeed at once.
type coordinatorRun struct {
	state ownership.Ownership
	now   time.Time
	// grantedAt is when each incarnation was last granted keys.
	grantedAt map[string]time.Time
}

// newCoordinatorRun returns a coordinator that has granted all keys to the owner, the only server listed.
func newCoordinatorRun(t *testing.T, owner instance.Instance) *coordinatorRun {
	now := time.Unix(3_000_000, 0)
	r := &coordinatorRun{state: ownership.New(modelTiming, keymap.Map{}, 0, now), now: now, grantedAt: map[string]time.Time{}}
	r.runFor(2*time.Second, owner)
	if r.state.Keys().KeyCount(owner.Incarnation()) == 0 || r.grantedAt[owner.Incarnation()].IsZero() {
		t.Fatalf("%s was granted no keys", owner.Incarnation())
	}
	return r
}

// runFor runs the coordinator for d while discovery lists the given entries.
func (r *coordinatorRun) runFor(d time.Duration, listed ...instance.Instance) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		r.state = withListed(r.state, listed, r.now).WithLease(r.now.Add(lease))
		state, commands := r.state.WithTick(&model{now: r.now, load: keyload.New()}, r.now)
		r.state = state
		for _, c := range commands {
			switch c := c.(type) {
			case command.Grant:
				r.grantedAt[c.To.Incarnation()] = r.now
				r.state = r.state.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, r.now)
			case command.Save:
				r.state = r.state.WithSaveResult(c, command.Done, r.now)
			case command.Release:
			}
		}
	}
}

// requireHoldKept fails the test unless the successor is granted keys, and only after the last grant to the holder has
// expired on a clock that is 2% slow.
func (r *coordinatorRun) requireHoldKept(t *testing.T, listed ...instance.Instance) {
	t.Helper()
	last, start := r.grantedAt[holder.Incarnation()], r.now
	for r.grantedAt[successor.Incarnation()].IsZero() && r.now.Sub(start) < time.Minute {
		r.runFor(20*time.Millisecond, listed...)
		if at := r.grantedAt[holder.Incarnation()]; at.After(last) {
			last = at
		}
	}
	switch moved := r.grantedAt[successor.Incarnation()]; {
	case moved.IsZero():
		t.Errorf("the keys were not granted to the successor within a minute")
	case moved.Before(last.Add(modelTiming.HoldTime * 102 / 100)):
		t.Errorf("the successor was granted keys %v after the last grant to their live owner, which holds them for %v", moved.Sub(last), modelTiming.HoldTime*102/100)
	}
}

// entriesAtTheHoldersAddress are entries that discovery may list at the holder's address while the holder lives.
var entriesAtTheHoldersAddress = []struct {
	name  string
	entry instance.Instance
}{
	{"started earlier", instance.Instance{ID: "earlier", StartMillis: 1000, Service: "s", Address: holder.Address, Slots: 2}},
	{"started at the same time", instance.Instance{ID: "earlier", StartMillis: 2000, Service: "s", Address: holder.Address, Slots: 2}},
	{"unknown start", instance.Instance{ID: "earlier", Service: "s", Address: holder.Address, Slots: 2}},
	{"clock stepped back", instance.Instance{ID: "earlier", StartMillis: 3000, Service: "s", Address: holder.Address, Slots: 2}},
	{"same ID, started earlier", instance.Instance{ID: holder.ID, StartMillis: 1000, Service: "s", Address: holder.Address, Slots: 2}},
	{"same ID, clock stepped back", instance.Instance{ID: holder.ID, StartMillis: 3000, Service: "s", Address: holder.Address, Slots: 2}},
	{"another service", instance.Instance{ID: "earlier", StartMillis: 1000, Service: "other", Address: holder.Address, Slots: 2}},
	{"another service, clock stepped back", instance.Instance{ID: "earlier", StartMillis: 3000, Service: "other", Address: holder.Address, Slots: 2}},
}

func TestLiveOwnerKeepsItsKeysWhenAnEarlierLifesEntryReappears(t *testing.T) {
	for _, c := range entriesAtTheHoldersAddress {
		t.Run(c.name, func(t *testing.T) {
			newCoordinatorRun(t, holder).requireHoldKept(t, successor, c.entry)
		})
	}
}

// An earlier life's entry that came and went must not count against grants made after it.
func TestLiveOwnerKeepsItsKeysAfterAnEarlierLifesEntryWasListed(t *testing.T) {
	for _, c := range entriesAtTheHoldersAddress {
		t.Run(c.name, func(t *testing.T) {
			r := newCoordinatorRun(t, holder)
			r.runFor(20*time.Millisecond, c.entry)
			r.runFor(20*time.Second, holder)
			r.requireHoldKept(t, successor)
		})
	}
}

// A grant that is addressed to an ended life is taken by the life that started under its ID and address since.
func TestLaterLifeKeepsTheKeysThatItTookFromAGrantToTheEarlierOne(t *testing.T) {
	later := holder
	later.StartMillis = 4000
	newCoordinatorRun(t, holder).requireHoldKept(t, successor, later)
}

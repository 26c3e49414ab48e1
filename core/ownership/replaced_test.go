package ownership_test

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownership"
)

// otherService is the ID of a server of another service, which knows no commands.
const otherService = "other service"

// addressRun drives a coordinator against servers that answer at addresses: a command to another ID than the one that
// runs at its address is answered Replaced, and one to an address where none runs is Unsent.
type addressRun struct {
	state ownership.Ownership
	now   time.Time
	// running has the ID of the server at each address.
	running map[string]string
	// acquiredAt is when each incarnation last acknowledged a grant.
	acquiredAt map[string]time.Time
}

func newAddressRun(running map[string]string) *addressRun {
	now := time.Unix(4_000_000, 0)
	return &addressRun{state: ownership.New(modelTiming, keymap.New(), 0, now), now: now, running: running, acquiredAt: map[string]time.Time{}}
}

func (r *addressRun) result(to instance.Instance) command.Result {
	switch r.running[to.Address] {
	case to.ID:
		return command.Done
	case "":
		return command.Unsent
	case otherService:
		return command.Invalid
	}
	return command.Replaced
}

// runFor runs the coordinator for d with the given members.
func (r *addressRun) runFor(d time.Duration, members ...instance.Instance) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		next, commands := r.state.WithMembers(members, r.now).WithLease(r.now.Add(lease)).WithTick(&model{now: r.now, load: keyload.New()}, r.now)
		for _, c := range commands {
			switch c := c.(type) {
			case command.Grant:
				result := r.result(c.To)
				if result == command.Done {
					r.acquiredAt[c.To.Incarnation()] = r.now
				}
				next = next.WithGrantResults([]command.Completion{{ID: c.ID, Result: result}}, r.now)
			case command.Release:
				next = next.WithReleaseResult(c.ID, command.Answer{Result: r.result(c.From)}, r.now)
			case command.Save:
				next = next.WithSaveResult(c, command.Done, r.now)
			}
		}
		r.state = next
	}
}

func TestKeysOfAReplacedOwnerMoveBeforeItsGrantsExpire(t *testing.T) {
	for _, isListed := range []bool{true, false} {
		r := newAddressRun(map[string]string{holder.Address: holder.ID, successor.Address: successor.ID})
		r.runFor(2*time.Second, holder)
		replacedAt := r.now
		r.running[holder.Address] = "later life"
		members := []instance.Instance{successor}
		if isListed {
			members = append(members, holder)
		}
		r.runFor(modelTiming.RenewInterval+time.Second, members...)
		if keys := r.state.Keys().KeyCount(successor.Incarnation()); keys != keyrange.MaxKey+1 || r.acquiredAt[successor.Incarnation()].IsZero() {
			t.Errorf("%v after another server answers at the owner's address (owner listed %v), %d keys have moved, want all", r.now.Sub(replacedAt), isListed, keys)
		}
	}
}

func TestKeysLeaveAnEntryOfAnEarlierLife(t *testing.T) {
	r := newAddressRun(map[string]string{holder.Address: holder.ID, successor.Address: successor.ID})
	earlier := instance.Instance{ID: "earlier", StartMillis: 1000, Service: "s", Address: holder.Address, Slots: 20}
	r.runFor(2*time.Second, holder, successor)
	r.runFor(4*time.Second, holder, successor, earlier)
	if keys := r.state.Keys().KeyCount(earlier.Incarnation()); keys > 0 {
		t.Errorf("%d keys are assigned to an incarnation at whose address another one answers", keys)
	}
	if unserved := r.state.Unserved(); len(unserved) > 0 {
		t.Errorf("the ranges %v are not served", unserved)
	}
}

// An entry may carry another address than the one at which its server was granted its keys.
func TestAnswerAtAnotherAddressDoesNotEndAnOwner(t *testing.T) {
	r := newAddressRun(map[string]string{holder.Address: holder.ID, successor.Address: successor.ID})
	r.runFor(2*time.Second, holder)
	moved := holder
	moved.Address = successor.Address
	last := r.acquiredAt[holder.Incarnation()]
	for r.acquiredAt[successor.Incarnation()].IsZero() && r.now.Sub(last) < time.Minute {
		r.runFor(20*time.Millisecond, moved, successor)
	}
	if got, want := r.acquiredAt[successor.Incarnation()].Sub(last), modelTiming.HoldTime*102/100; got < want {
		t.Errorf("the successor was granted keys %v after the last grant to their owner, which holds them for %v", got, want)
	}
}

func TestKeysMoveIfAServerOfAnotherServiceHasTheOwnersAddress(t *testing.T) {
	r := newAddressRun(map[string]string{holder.Address: holder.ID, successor.Address: successor.ID})
	r.runFor(2*time.Second, holder)
	last := r.acquiredAt[holder.Incarnation()]
	r.running[holder.Address] = otherService
	r.runFor(2*time.Second, holder, successor)
	for r.acquiredAt[successor.Incarnation()].IsZero() && r.now.Sub(last) < time.Minute {
		r.runFor(20*time.Millisecond, successor)
	}
	moved := r.acquiredAt[successor.Incarnation()].Sub(last)
	if held := modelTiming.HoldTime * 102 / 100; moved < held || moved > modelTiming.CallTimeout+held+time.Second {
		t.Errorf("the keys moved %v after the last grant that their owner acknowledged; it holds them for %v", moved, held)
	}
}

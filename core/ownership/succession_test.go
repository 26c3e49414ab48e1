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

// elected is when the new coordinator is elected, at the end of the old one's lease.
var elected = time.Unix(2_000_000, 0)

func twoOwners() (keymap.Map, instance.Instance, instance.Instance) {
	silent := instance.Instance{ID: "silent", Service: "s", Address: "10.0.0.1:80", Slots: 2}
	other := instance.Instance{ID: "other", Service: "s", Address: "10.0.0.2:80", Slots: 2}
	return keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 999}, Owner: silent.Incarnation(), Fence: 1},
		holding.Holding{Range: keyrange.Range{From: 1000, To: keyrange.Last}, Owner: other.Incarnation(), Fence: 2}), silent, other
}

// heldByOld lets an old coordinator go on beside its successor, told up to a time that the store is away, and returns until
// when the keys of a server that only it reaches may be held: its last grant, as late and as long as it can be.
func heldByOld(awayUntil time.Time) time.Time {
	keys, silent, other := twoOwners()
	o := ownership.New(worldTerms, keys, 10, elected.Add(-time.Minute)).WithMembers([]instance.Instance{silent, other}, nil, elected.Add(-time.Minute))
	var last time.Time
	for now := elected.Add(-3 * time.Second); now.Before(elected.Add(40 * time.Second)); now = now.Add(20 * time.Millisecond) {
		o = o.WithLease(elected)
		if !now.After(awayUntil) {
			o = o.WithAway(now)
		}
		if !o.IsActing(now) {
			continue
		}
		next, orders := o.WithTick(&world{now: now, load: keyload.New()}, now)
		o = next
		for _, each := range orders {
			if g, ok := each.(command.Grant); ok {
				o = o.WithGranted([]command.End{{ID: g.ID, Result: command.Done}}, now)
				if held := now.Add(worldTerms.CallTimeout + g.Hold*1025/1000); g.To.ID == "silent" && held.After(last) {
					last = held
				}
			}
		}
	}
	return last
}

// movedByNew returns when the new coordinator gives a silent server's keys to another one.
func movedByNew(with func(ownership.Ownership) ownership.Ownership) time.Time {
	keys, _, other := twoOwners()
	o := with(ownership.New(worldTerms, keys, 10, elected).WithMembers([]instance.Instance{other}, nil, elected))
	for now := elected; now.Before(elected.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		next, orders := o.WithLease(now.Add(lease)).WithTick(&world{now: now, load: keyload.New()}, now)
		o = next
		for _, each := range orders {
			switch each := each.(type) {
			case command.Save:
				if h, ok := each.Keys.OwnerOf(0); ok && h.Owner == other.Incarnation() {
					return now
				}
				o = o.WithSaved(each, command.Done, now)
			case command.Grant:
				o = o.WithGranted([]command.End{{ID: each.ID, Result: command.Done}}, now)
			case command.Release: // nothing is released by a silent server
			}
		}
	}
	return time.Time{}
}

func TestSilentOwnersKeysMoveAfterTheOldCoordinatorsGrants(t *testing.T) {
	for _, c := range []struct {
		name string
		// away is until when the old coordinator was told that the store was away, before the election, and sound what the new
		// one knows.
		away  time.Duration
		sound func(ownership.Ownership) ownership.Ownership
		most  time.Duration
	}{
		{"nothing is known", 9 * time.Second, func(o ownership.Ownership) ownership.Ownership { return o }, 30 * time.Second},
		{"the store was never away", -time.Hour, func(o ownership.Ownership) ownership.Ownership { return o.WithSound(elected.Add(-time.Hour)) }, 8 * time.Second},
		{"the store was away until just now", 0, func(o ownership.Ownership) ownership.Ownership { return o.WithSound(elected) }, 14 * time.Second},
		{"the store was away 5 s ago", -5 * time.Second, func(o ownership.Ownership) ownership.Ownership { return o.WithSound(elected.Add(-5 * time.Second)) }, 9 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, moved := heldByOld(elected.Add(c.away)), movedByNew(c.sound)
			if held.Before(elected) || moved.Before(held) {
				t.Errorf("moved %v after the election, but the old owner may hold the keys until %v", moved.Sub(elected), held.Sub(elected))
			}
			if moved.Sub(elected) > c.most {
				t.Errorf("moved %v after the election, want %v at most", moved.Sub(elected), c.most)
			}
		})
	}
}

func TestGrantsAreLongOnlyWhileTheStoreIsAway(t *testing.T) {
	if normal, away := heldByOld(elected.Add(-time.Hour)), heldByOld(elected.Add(20*time.Second)); normal.Sub(elected) > 7500*time.Millisecond ||
		away.Sub(elected) < 20*time.Second {
		t.Errorf("keys are held for %v after the lease, and %v where the store is away; want 7.5 s at most and 20 s at least", normal.Sub(elected), away.Sub(elected))
	}
}

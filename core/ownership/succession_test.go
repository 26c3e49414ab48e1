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

// elected is when the new coordinator is elected: at the end of the old one's store lease.
var elected = time.Unix(2_000_000, 0)

// twoOwners returns a map with two owners, the silent server, which only the old coordinator reaches, and the other
// server.
func twoOwners() (keymap.Map, instance.Instance, instance.Instance) {
	silent := instance.Instance{ID: "silent", Service: "s", Address: "10.0.0.1:80", Slots: 2}
	other := instance.Instance{ID: "other", Service: "s", Address: "10.0.0.2:80", Slots: 2}
	return keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 999}, Owner: silent.Incarnation(), Fence: 1},
		holding.Holding{Range: keyrange.Range{From: 1000, To: keyrange.MaxKey}, Owner: other.Incarnation(), Fence: 2}), silent, other
}

// lastOldGrantEnd runs an old coordinator past leaseEnd, the end of its store lease. Until storeDownUntil the coordinator finds
// the store unreachable. The result is the latest time until which the silent server, which only this coordinator
// reaches, may hold keys: the last grant takes CallTimeout to arrive, and the server's clock is as slow as ClockSlack
// allows.
func lastOldGrantEnd(leaseEnd, storeDownUntil time.Time) time.Time {
	keys, silent, other := twoOwners()
	o := withListed(ownership.New(modelTiming, keys, 10, elected.Add(-time.Minute)), []instance.Instance{silent, other}, elected.Add(-time.Minute))
	var last time.Time
	for now := elected.Add(-3 * time.Second); now.Before(elected.Add(40 * time.Second)); now = now.Add(20 * time.Millisecond) {
		o = o.WithLease(leaseEnd)
		if !now.After(storeDownUntil) {
			o = o.WithStoreUnreachable(now)
		}
		if !o.IsActing(now) {
			continue
		}
		next, commands := o.WithTick(&model{now: now, load: keyload.New()}, now)
		o = next
		for _, c := range commands {
			if g, ok := c.(command.Grant); ok {
				o = o.WithGrantResults([]command.Completion{{ID: g.ID, Result: command.Done}}, now)
				if held := now.Add(modelTiming.CallTimeout + g.HoldTime*1025/1000); g.To.ID == "silent" && held.After(last) {
					last = held
				}
			}
		}
	}
	return last
}

// silentServerMovedAt returns when the new coordinator gives the silent server's keys to the other server, or the zero
// time if that takes more than a minute.
func silentServerMovedAt(withKnowledge func(ownership.Ownership) ownership.Ownership) time.Time {
	keys, _, other := twoOwners()
	return silentServerMovedBy(withKnowledge(withListed(ownership.New(modelTiming, keys, 10, elected), []instance.Instance{other}, elected)))
}

// silentServerMovedBy returns when the coordinator, elected at elected, gives the silent server's keys to the other server.
func silentServerMovedBy(o ownership.Ownership) time.Time {
	_, _, other := twoOwners()
	for now := elected; now.Before(elected.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		next, commands := o.WithLease(now.Add(lease)).WithTick(&model{now: now, load: keyload.New()}, now)
		o = next
		for _, c := range commands {
			switch c := c.(type) {
			case command.Save:
				if h, ok := c.Keys.HoldingOf(0); ok && h.Owner == other.Incarnation() {
					return now
				}
				o = o.WithSaveResult(c, command.Done, now)
			case command.Grant:
				o = o.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, now)
			case command.Release: // a silent server answers no release
			}
		}
	}
	return time.Time{}
}

func TestSilentOwnersKeysMoveAfterTheOldCoordinatorsGrantsExpire(t *testing.T) {
	for _, c := range []struct {
		name string
		// storeDownUntil is the time, counted from the election, until which the old coordinator finds the store
		// unreachable; withKnowledge applies what the new coordinator knows about that.
		storeDownUntil time.Duration
		withKnowledge  func(ownership.Ownership) ownership.Ownership
		maxDelay       time.Duration
	}{
		{"nothing is known", 9 * time.Second, func(o ownership.Ownership) ownership.Ownership { return o }, 30 * time.Second},
		{"the store was always reachable", -time.Hour, func(o ownership.Ownership) ownership.Ownership {
			return o.WithStoreReachableSince(elected.Add(-time.Hour))
		}, 8 * time.Second},
		{"the store was unreachable until the election", 0, func(o ownership.Ownership) ownership.Ownership { return o.WithStoreReachableSince(elected) }, 14 * time.Second},
		{"the store was unreachable until 5 s before the election", -5 * time.Second, func(o ownership.Ownership) ownership.Ownership {
			return o.WithStoreReachableSince(elected.Add(-5 * time.Second))
		}, 9 * time.Second},
		{"the last reports of an outage that ended with the election are old", modelTiming.ReportAge, func(o ownership.Ownership) ownership.Ownership {
			return o.WithStoreReachableSince(elected)
		}, 14 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, moved := lastOldGrantEnd(elected, elected.Add(c.storeDownUntil)), silentServerMovedAt(c.withKnowledge)
			if held.Before(elected) || moved.Before(held) {
				t.Errorf("moved %v after the election, but the old owner may hold the keys until %v after it", moved.Sub(elected), held.Sub(elected))
			}
			if moved.Sub(elected) > c.maxDelay {
				t.Errorf("moved %v after the election, want %v at most", moved.Sub(elected), c.maxDelay)
			}
		})
	}
}

// The store may remove the old coordinator's key while the coordinator counts on its lease for a whole lease duration.
func TestSilentOwnersKeysMoveAfterTheGrantsOfARevokedCoordinatorExpire(t *testing.T) {
	held := lastOldGrantEnd(elected.Add(lease), elected.Add(-time.Hour))
	moved := silentServerMovedAt(func(o ownership.Ownership) ownership.Ownership {
		return o.WithStoreReachableSince(elected.Add(-time.Hour))
	})
	if held.Before(elected) || moved.Before(held) {
		t.Errorf("moved %v after the election, but the old owner may hold the keys until %v after it", moved.Sub(elected), held.Sub(elected))
	}
}

func TestSilentOwnersKeysMoveAfterTheLongGrantsOfARevokedCoordinatorExpire(t *testing.T) {
	held := lastOldGrantEnd(elected.Add(lease), elected.Add(time.Hour))
	moved := silentServerMovedAt(func(o ownership.Ownership) ownership.Ownership { return o })
	if held.Before(elected) || moved.Before(held) {
		t.Errorf("moved %v after the election, but the old owner may hold the keys until %v after it", moved.Sub(elected), held.Sub(elected))
	}
}

// A coordinator between two terms of another may renew grants without a write to the store. Its lease began 1 s before the
// other's second term, and the store ended it early.
func TestSilentOwnersKeysMoveAfterTheGrantsOfACoordinatorBetweenTwoTermsExpire(t *testing.T) {
	held := lastOldGrantEnd(elected.Add(lease-time.Second), elected.Add(-time.Hour))
	keys, silent, other := twoOwners()
	start := elected.Add(-time.Minute)
	first := withListed(ownership.New(modelTiming, keys, 10, start), []instance.Instance{silent, other}, start).WithStoreReachableSince(start)
	for now := start; now.Before(elected.Add(-2 * time.Second)); now = now.Add(20 * time.Millisecond) {
		next, commands := first.WithLease(now.Add(time.Second)).WithTick(&model{now: now, load: keyload.New()}, now)
		first = next
		for _, c := range commands {
			switch c := c.(type) {
			case command.Save:
				first = first.WithSaveResult(c, command.Done, now)
			case command.Grant:
				first = first.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, now)
			case command.Release: // nothing moves to a new owner
				first = first.WithReleaseResult(c.ID, command.Answer{Result: command.Invalid}, now)
			}
		}
	}
	moved := silentServerMovedBy(withListed(first, []instance.Instance{other}, elected).WithNewTerm(elected).WithStoreReachableSince(elected.Add(-time.Hour)))
	if held.Before(elected) || moved.Before(held) {
		t.Errorf("moved %v after the election, but the old owner may hold the keys until %v after it", moved.Sub(elected), held.Sub(elected))
	}
}

func TestGrantsAreLongOnlyWhileTheStoreIsUnreachable(t *testing.T) {
	if short, long := lastOldGrantEnd(elected, elected.Add(-time.Hour)), lastOldGrantEnd(elected, elected.Add(20*time.Second)); short.Sub(elected) > 7500*time.Millisecond ||
		long.Sub(elected) < 20*time.Second {
		t.Errorf("keys are held for %v after the store lease ends, and for %v after it while the store is unreachable; want 7.5 s at most and 20 s at least", short.Sub(elected), long.Sub(elected))
	}
}

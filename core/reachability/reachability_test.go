package reachability_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/reachability"
)

var start = time.Unix(1000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestContact(t *testing.T) {
	c := reachability.Reachability{}
	if !c.IsLost(start) {
		t.Error("a host that never had an answer from the store has contact")
	}
	for s := 0.0; s < 10; s++ {
		c = c.WithContact(after(s))
	}
	if c.IsLost(after(10.5)) || !c.ContactSince.Equal(start) {
		t.Errorf("answers 1 s apart: contact since %v", c.ContactSince.Sub(start))
	}
	if !c.IsLost(after(11)) {
		t.Error("contact 2 s after the last answer")
	}
	if c = c.WithContact(after(12)); !c.ContactSince.Equal(after(12)) {
		t.Errorf("after lost contact: since %v, want 12 s", c.ContactSince.Sub(start))
	}
}

// Once a new coordinator learns since when the store can't have been unreachable, no earlier coordinator has found it
// unreachable after that time, nor does so later, whichever hosts have contact and whichever host reaches which
// coordinator.
func TestUnreachableAndReachableExcludeEachOther(t *testing.T) {
	const earlier, later = 10, 20
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		contacts := make([]reachability.Reachability, hosts)
		var lastUnreachable time.Time
		isReachable := false
		for step := range 120 {
			now := after(float64(step) * 0.4)
			reach := rapid.IntRange(0, 10).Draw(t, "reach")
			for i := range contacts {
				if rapid.IntRange(0, 9).Draw(t, "hears") < reach {
					contacts[i] = contacts[i].WithContact(now)
				}
			}
			isElected := step > 60
			var toOld, toNew []reachability.Reachability
			for i := range contacts {
				reached := rapid.IntRange(0, 7).Draw(t, "reached")
				if reached < 7 {
					toOld = append(toOld, contacts[i])
				}
				if isElected && reached > 0 {
					contacts[i] = contacts[i].WithCoordinatorRevision(later)
					toNew = append(toNew, contacts[i])
				}
			}
			if reachability.IsStoreUnreachable(toOld, hosts, earlier, now) {
				lastUnreachable = now
				if isReachable {
					t.Fatalf("%v: unreachable, after the new coordinator learned that it can't be", now.Sub(start))
				}
			}
			if since, ok := reachability.StoreReachableSince(toNew, hosts, later, now); ok {
				isReachable = true
				if !lastUnreachable.IsZero() && lastUnreachable.After(since) {
					t.Fatalf("%v: reachable since %v, but unreachable at %v", now.Sub(start), since.Sub(start), lastUnreachable.Sub(start))
				}
			}
		}
	})
}

func TestWhichHostsCount(t *testing.T) {
	now := after(100)
	hosts := func(n int, c reachability.Reachability) []reachability.Reachability {
		var all []reachability.Reachability
		for range n {
			all = append(all, c)
		}
		return all
	}
	lost := reachability.Reachability{ContactSince: after(1), LastContact: after(90), CoordinatorRevision: 5}
	inContact := reachability.Reachability{ContactSince: after(1), LastContact: after(99.5), CoordinatorRevision: 5}
	for _, c := range []struct {
		name     string
		contacts []reachability.Reachability
		want     bool
	}{
		{"all have lost contact", hosts(9, lost), true},
		{"two thirds have lost contact", append(hosts(6, lost), hosts(3, inContact)...), true},
		{"fewer than two thirds have lost contact", append(hosts(5, lost), hosts(4, inContact)...), false},
		{"some know a newer coordinator", append(hosts(5, lost), hosts(4, lost.WithCoordinatorRevision(6))...), false},
		{"all have just started", hosts(9, reachability.Reachability{}), false},
		{"too few hosts report", hosts(5, lost), false},
	} {
		if got := reachability.IsStoreUnreachable(c.contacts, 9, 5, now); got != c.want {
			t.Errorf("%s: unreachable %v, want %v", c.name, got, c.want)
		}
	}
	if _, ok := reachability.StoreReachableSince(hosts(9, inContact), 9, 6, now); ok {
		t.Error("reachable according to hosts that do not know the coordinator")
	}
	if since, ok := reachability.StoreReachableSince(append(hosts(4, lost), hosts(5, inContact)...), 9, 5, now); !ok || !since.Equal(after(1)) {
		t.Errorf("reachable since %v, %v; want 1 s", since.Sub(start), ok)
	}
}

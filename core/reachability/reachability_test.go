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

func TestReachableSinceTheLastInterruption(t *testing.T) {
	r := reachability.Reachability{}
	if !r.IsLost(start) {
		t.Error("a host that never had an answer counts as reaching the store")
	}
	for s := 0.0; s < 10; s++ {
		r = r.WithAnswer(after(s))
	}
	if r.IsLost(after(10.5)) || !r.ReachableSince.Equal(start) {
		t.Errorf("answers 1 s apart: lost, or reachable since %v; want reachable since 0 s", r.ReachableSince.Sub(start))
	}
	if !r.IsLost(after(11)) {
		t.Error("reachable 2 s after the last answer, want lost")
	}
	if r = r.WithAnswer(after(12)); !r.ReachableSince.Equal(after(12)) {
		t.Errorf("after an interruption: reachable since %v, want 12 s", r.ReachableSince.Sub(start))
	}
}

// When a new coordinator learns the time since which the store has been reachable, no earlier coordinator may have found
// the store unreachable after that time, and none may find it unreachable from then on. This must hold whichever hosts
// reach the store, whichever coordinators each host reaches, and whichever hosts start again: such a host forgets the coordinator, and
// the first answer of the store tells of the newest one.
func TestUnreachableAndReachableExcludeEachOther(t *testing.T) {
	const earlierRevision, newRevision = 10, 20
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		records := make([]reachability.Reachability, hosts)
		var lastUnreachable time.Time
		isKnownReachable := false
		for step := range 120 {
			now := after(float64(step) * 0.4)
			answersInTen := rapid.IntRange(0, 10).Draw(t, "reach")
			isElected := step > 60
			startsInTen := rapid.SampledFrom([]int{0, 0, 0, 2, 9}).Draw(t, "starts")
			for i := range records {
				if rapid.IntRange(0, 9).Draw(t, "start") < startsInTen {
					records[i] = reachability.Reachability{}
				}
				if rapid.IntRange(0, 9).Draw(t, "answer") < answersInTen {
					if records[i].LastAnswer.IsZero() && isElected {
						records[i] = records[i].WithCoordinatorRevision(newRevision)
					}
					records[i] = records[i].WithAnswer(now)
				}
			}
			var toEarlier, toNew []reachability.Reachability
			for i := range records {
				// With 7 only the new coordinator reaches the host, and with 0 only the earlier one.
				reached := rapid.IntRange(0, 7).Draw(t, "reached")
				if reached < 7 {
					toEarlier = append(toEarlier, records[i])
				}
				if isElected && reached > 0 {
					records[i] = records[i].WithCoordinatorRevision(newRevision)
					toNew = append(toNew, records[i])
				}
			}
			if reachability.IsStoreUnreachable(toEarlier, hosts, earlierRevision, now) {
				lastUnreachable = now
				if isKnownReachable {
					t.Fatalf("%v: the earlier coordinator finds the store unreachable after the new one learned since when it has been reachable", now.Sub(start))
				}
			}
			if since, ok := reachability.StoreReachableSince(toNew, hosts, newRevision, now); ok {
				isKnownReachable = true
				if !lastUnreachable.IsZero() && lastUnreachable.After(since) {
					t.Fatalf("%v: the new coordinator learns that the store has been reachable since %v, but the earlier one found it unreachable at %v", now.Sub(start), since.Sub(start), lastUnreachable.Sub(start))
				}
			}
		}
	})
}

func TestWhichHostsCountAsLostOrReachable(t *testing.T) {
	now := after(100)
	hosts := func(n int, r reachability.Reachability) []reachability.Reachability {
		var all []reachability.Reachability
		for range n {
			all = append(all, r)
		}
		return all
	}
	lost := reachability.Reachability{ReachableSince: after(1), LastAnswer: after(90), CoordinatorRevision: 5}
	reachable := reachability.Reachability{ReachableSince: after(1), LastAnswer: after(99.5), CoordinatorRevision: 5}
	for _, c := range []struct {
		name    string
		records []reachability.Reachability
		want    bool
	}{
		{"all have lost the store", hosts(9, lost), true},
		{"two thirds have lost the store", append(hosts(6, lost), hosts(3, reachable)...), true},
		{"fewer than two thirds have lost the store", append(hosts(5, lost), hosts(4, reachable)...), false},
		{"some know a newer coordinator", append(hosts(5, lost), hosts(4, lost.WithCoordinatorRevision(6))...), false},
		{"all have just started", hosts(9, reachability.Reachability{}), false},
		{"too few hosts report", hosts(5, lost), false},
	} {
		if got := reachability.IsStoreUnreachable(c.records, 9, 5, now); got != c.want {
			t.Errorf("%s: unreachable %v, want %v", c.name, got, c.want)
		}
	}
	if _, ok := reachability.StoreReachableSince(hosts(9, reachable), 9, 6, now); ok {
		t.Error("StoreReachableSince counts hosts that do not know the coordinator")
	}
	if since, ok := reachability.StoreReachableSince(append(hosts(4, lost), hosts(5, reachable)...), 9, 5, now); !ok || !since.Equal(after(1)) {
		t.Errorf("StoreReachableSince returns %v, %v; want 1 s, true", since.Sub(start), ok)
	}
}

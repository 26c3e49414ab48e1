package reachability_test

import (
	"maps"
	"strconv"
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

// When a new coordinator learns the time since which the store has been reachable, no earlier coordinator may have received
// after that time the reports by which it finds the store unreachable, and none may receive them from then on. This must
// hold whichever hosts reach the store, whichever hosts each coordinator reaches and has in its directory, and whichever
// hosts start again: such a host forgets the coordinator, and the first answer of the store tells of the newest one. Both
// count the hosts of the earlier coordinator's set.
func TestUnreachableAndReachableExcludeEachOther(t *testing.T) {
	const earlierRevision, newRevision = 10, 20
	rapid.Check(t, func(t *rapid.T) {
		maxReportAge := rapid.SampledFrom([]time.Duration{0, 600 * time.Millisecond}).Draw(t, "maximum age of reports")
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		records := make([]reachability.Reachability, hosts)
		var set []string
		for i := range hosts {
			if i == 0 || rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
				set = append(set, strconv.Itoa(i))
			}
		}
		toEarlier, toNew := map[string]reachability.Reachability{}, map[string]reachability.Reachability{}
		recent := func(reports map[string]reachability.Reachability, now time.Time) map[string]reachability.Reachability {
			all := maps.Clone(reports)
			maps.DeleteFunc(all, func(_ string, r reachability.Reachability) bool { return now.Sub(r.ReportedAt) > maxReportAge })
			return all
		}
		var lastUnreachable time.Time
		isKnownReachable := false
		var learnedAt time.Time
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
			for i := range records {
				// With 7 only the new coordinator reaches the host, and with 0 only the earlier one.
				reached := rapid.IntRange(0, 7).Draw(t, "reached")
				if reached < 7 {
					toEarlier[strconv.Itoa(i)] = records[i].WithReportedAt(now)
				}
				if isElected && reached > 0 {
					records[i] = records[i].WithCoordinatorRevision(newRevision)
					toNew[strconv.Itoa(i)] = records[i].WithReportedAt(now)
				}
			}
			if reachability.IsStoreUnreachable(recent(toEarlier, now), set, earlierRevision) {
				lastUnreachable = now
				if isKnownReachable && now.Sub(learnedAt) > maxReportAge {
					t.Fatalf("%v: the earlier coordinator finds the store unreachable after the new one learned since when it has been reachable", now.Sub(start))
				}
			}
			if since, ok := reachability.StoreReachableSince(recent(toNew, now), set, newRevision); ok {
				if !isKnownReachable {
					isKnownReachable, learnedAt = true, now
				}
				if !lastUnreachable.IsZero() && lastUnreachable.After(since.Add(maxReportAge)) {
					t.Fatalf("%v: the new coordinator learns that the store has been reachable since %v, but the earlier one found it unreachable at %v", now.Sub(start), since.Sub(start), lastUnreachable.Sub(start))
				}
			}
		}
	})
}

func TestWhichHostsCountAsLostOrReachable(t *testing.T) {
	now := after(100)
	names := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8"}
	// hosts returns the reports of nine hosts at most, n of each record.
	hosts := func(n int, r reachability.Reachability, m int, other reachability.Reachability) map[string]reachability.Reachability {
		all := map[string]reachability.Reachability{}
		for i := range n {
			all[names[i]] = r.WithReportedAt(now)
		}
		for i := range m {
			all[names[n+i]] = other.WithReportedAt(now)
		}
		return all
	}
	none := reachability.Reachability{}
	lost := reachability.Reachability{ReachableSince: after(1), LastAnswer: after(90), CoordinatorRevision: 5}
	reachable := reachability.Reachability{ReachableSince: after(1), LastAnswer: after(99.5), CoordinatorRevision: 5}
	for _, c := range []struct {
		name    string
		reports map[string]reachability.Reachability
		want    bool
	}{
		{"all have lost the store", hosts(9, lost, 0, none), true},
		{"two thirds have lost the store", hosts(6, lost, 3, reachable), true},
		{"fewer than two thirds have lost the store", hosts(5, lost, 4, reachable), false},
		{"some know a newer coordinator", hosts(5, lost, 4, lost.WithCoordinatorRevision(6)), false},
		{"all have just started", hosts(9, none, 0, none), false},
		{"too few hosts report", hosts(5, lost, 0, none), false},
	} {
		if got := reachability.IsStoreUnreachable(c.reports, names, 5); got != c.want {
			t.Errorf("%s: unreachable %v, want %v", c.name, got, c.want)
		}
	}
	if reachability.IsStoreUnreachable(hosts(9, lost, 0, none), []string{"a", "b", "c"}, 5) || reachability.IsStoreUnreachable(hosts(9, lost, 0, none), nil, 5) {
		t.Error("IsStoreUnreachable counts hosts that are not in the set")
	}
	if _, ok := reachability.StoreReachableSince(hosts(9, reachable, 0, none), names, 6); ok {
		t.Error("StoreReachableSince counts hosts that do not know the coordinator")
	}
	if _, ok := reachability.StoreReachableSince(hosts(9, reachable, 0, none), []string{"a", "b", "c"}, 5); ok {
		t.Error("StoreReachableSince counts hosts that are not in the set")
	}
	if since, ok := reachability.StoreReachableSince(hosts(4, lost, 5, reachable), names, 5); !ok || !since.Equal(after(1)) {
		t.Errorf("StoreReachableSince returns %v, %v; want 1 s, true", since.Sub(start), ok)
	}
	if since, ok := reachability.StoreReachableSince(hosts(6, lost, 3, reachable), names, 5); ok {
		t.Errorf("StoreReachableSince returns %v, true by a third of the hosts; want more than a third", since.Sub(start))
	}
}

// A coordinator may count a record for some time after it came. The host may have reached the store meanwhile.
func TestWhatARecordSaysHoldsForTheTimeWhenItCame(t *testing.T) {
	record := reachability.Reachability{ReachableSince: after(1), LastAnswer: after(98.5), CoordinatorRevision: 5}.WithReportedAt(after(100))
	if reachability.IsStoreUnreachable(map[string]reachability.Reachability{"a": record}, []string{"a"}, 5) {
		t.Error("a host that reached the store 1.5 s before it reported counts as having lost it")
	}
}

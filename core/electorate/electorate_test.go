package electorate_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/electorate"
	"redwingsill/core/reachability"
)

var (
	start = time.Unix(1000, 0)
	now   = start.Add(100 * time.Second)
	lost  = reachability.Reachability{ReachableSince: start, LastAnswer: now.Add(-10 * time.Second), CoordinatorRevision: 5}.WithReportedAt(now)
)

// reachableSince returns the report of a host that knows the coordinator elected at revision 5.
func reachableSince(seconds int) reachability.Reachability {
	return reachability.Reachability{ReachableSince: start.Add(time.Duration(seconds) * time.Second), LastAnswer: now, CoordinatorRevision: 5}.WithReportedAt(now)
}

// reports returns the reports of hosts, by names of one letter.
func reports(names string, r reachability.Reachability) map[string]reachability.Reachability {
	all := map[string]reachability.Reachability{}
	for _, name := range names {
		all[string(name)] = r
	}
	return all
}

func set(names string) []string {
	var all []string
	for _, name := range names {
		all = append(all, string(name))
	}
	return all
}

func TestStoreIsUnreachableOnlyByStoredSets(t *testing.T) {
	known := electorate.New(5).WithEarlier(nil)
	stored := known.WithWrite(set("abcdef")).WithWritten()
	for _, c := range []struct {
		name       string
		electorate electorate.Electorate
		lost       string
		want       bool
	}{
		{"nothing is known", electorate.Electorate{}, "abcdef", false},
		{"no set was written", known, "abcdef", false},
		{"the first write has no known result", known.WithWrite(set("abcdef")), "abcdef", false},
		{"two thirds of the set", stored, "abcd", true},
		{"fewer than two thirds of the set", stored, "abc", false},
		{"many others", stored, "abcuvwxyz", false},
		{"two thirds of the stored set, another is being written", stored.WithWrite(set("abuvwx")), "abcd", false},
		{"two thirds of the set that is being written", stored.WithWrite(set("abuvwx")), "abuv", false},
		{"two thirds of both", stored.WithWrite(set("abuvwx")), "abcduv", true},
		{"the second write took effect", stored.WithWrite(set("abuvwx")).WithWritten(), "abcd", false},
		{"two thirds of the second set, which is written", stored.WithWrite(set("abuvwx")).WithWritten(), "abuv", true},
	} {
		if got := c.electorate.IsStoreUnreachable(reports(c.lost, lost)); got != c.want {
			t.Errorf("%s: unreachable %v, want %v", c.name, got, c.want)
		}
	}
}

func TestStoreIsReachableSinceMoreThanAThirdOfEachEarlierSetReachesIt(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier []string
		reports map[string]reachability.Reachability
		want    int
		isKnown bool
	}{
		{"more than a third of the set", []string{"abcdef"}, reports("abc", reachableSince(20)), 20, true},
		{"a third of the set", []string{"abcdef"}, reports("ab", reachableSince(20)), 0, false},
		{"hosts that are not in the set", []string{"abcd"}, reports("auvwxyz", reachableSince(20)), 0, false},
		{"one of two sets", []string{"abcd", "uvw"}, reports("abcdu", reachableSince(20)), 0, false},
		{"both sets", []string{"abcd", "uvw"}, reports("abuv", reachableSince(20)), 20, true},
		{"the second host of the set is the one that decides", []string{"abc"}, join(reports("a", reachableSince(20)), reports("b", reachableSince(30)), reports("c", reachableSince(40))), 30, true},
		{"the later of two sets", []string{"abc", "xyz"}, join(reports("ab", reachableSince(20)), reports("xy", reachableSince(50))), 50, true},
		{"hosts that have lost it", []string{"abc"}, join(reports("a", reachableSince(20)), reports("bc", lost)), 0, false},
	} {
		var sets [][]string
		for _, names := range c.earlier {
			sets = append(sets, set(names))
		}
		since, ok := electorate.New(5).WithEarlier(sets).StoreReachableSince(c.reports)
		if ok != c.isKnown || ok && !since.Equal(start.Add(time.Duration(c.want)*time.Second)) {
			t.Errorf("%s: since %v, known %v; want %d s, %v", c.name, since.Sub(start), ok, c.want, c.isKnown)
		}
	}
	if _, ok := electorate.New(5).StoreReachableSince(reports("abc", reachableSince(20))); ok {
		t.Error("the time is known, but the sets of earlier coordinators are not")
	}
}

func join(all ...map[string]reachability.Reachability) map[string]reachability.Reachability {
	joined := map[string]reachability.Reachability{}
	for _, each := range all {
		maps.Copy(joined, each)
	}
	return joined
}

func TestSetIsWrittenAgainOnceMoreThanASixthHasChanged(t *testing.T) {
	known := electorate.New(5).WithEarlier(nil)
	stored := known.WithWrite(set("abcdef")).WithWritten()
	for _, c := range []struct {
		name       string
		electorate electorate.Electorate
		hosts      string
		want       bool
	}{
		{"earlier sets unknown", electorate.New(5), "abcdef", false},
		{"first", known, "abcdef", true},
		{"no hosts", known, "", false},
		{"unchanged", stored, "fedcba", false},
		{"one left", stored, "abcde", false},
		{"one was added", stored, "abcdefg", false},
		{"one left and one was added", stored, "abcdeg", true},
		{"being written", known.WithWrite(set("abcdef")), "abcdeg", false},
	} {
		if got := c.electorate.NeedsWrite(set(c.hosts)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestEqualSetsAreKeptOnce(t *testing.T) {
	e := electorate.New(5).WithEarlier([][]string{set("cab"), set("abc"), nil, set("abcd")})
	if len(e.Earlier()) != 2 || e.EarlierSize() != 4 {
		t.Errorf("sets %v of %d hosts, want abc and abcd", e.Earlier(), e.EarlierSize())
	}
}

// coordinator is a coordinator with its reports. Its set is written while it is the newest.
type coordinator struct {
	electorate electorate.Electorate
	revision   int64
	writing    []string
	reports    map[string]reachability.Reachability
	// isInside is set while the coordinator reaches only the hosts that are cut off from the store.
	isInside    bool
	lastFinding time.Time
	knownSince  time.Time
	isKnown     bool
}

// Coordinators follow each other while hosts leave, return, are added, start again and lose the store, so that each
// coordinator has another directory. Some reach only the hosts that are cut off. Answers to writes of sets are lost. Once a coordinator knows since when the store has
// been reachable, no earlier one may find it unreachable by reports received after that time.
func TestUnreachableAndReachableExcludeEachOther(t *testing.T) {
	const step = 300 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		maxReportAge := rapid.SampledFrom([]time.Duration{0, 600 * time.Millisecond}).Draw(t, "maximum age of reports")
		records := map[string]reachability.Reachability{}
		isListed, isCutOff := map[string]bool{}, map[string]bool{}
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		for i := range hosts {
			isListed[strconv.Itoa(i)] = true
		}
		var stored [][]string
		var all []*coordinator
		for now := start; now.Before(start.Add(100 * step)); now = now.Add(step) {
			if rapid.IntRange(0, 9).Draw(t, "hosts change") == 0 {
				share := rapid.IntRange(0, 4).Draw(t, "quarters")
				leave := rapid.Bool().Draw(t, "leave")
				for _, c := range all {
					if !leave {
						c.isInside = share > 0 && rapid.Bool().Draw(t, "inside")
					}
				}
				for i := range hosts {
					name := strconv.Itoa(i)
					isDrawn := rapid.IntRange(1, 4).Draw(t, "drawn") <= share
					if !leave {
						isCutOff[name] = isDrawn
						continue
					}
					isListed[name] = !isDrawn
					delete(records, name)
				}
			}
			newest := int64(len(all))
			if newest == 0 || rapid.IntRange(0, 9).Draw(t, "election") == 0 {
				newest++
				all = append(all, &coordinator{electorate: electorate.New(newest).WithEarlier(stored), revision: newest, reports: map[string]reachability.Reachability{}})
			}
			var directory []string
			for i := range hosts {
				name := strconv.Itoa(i)
				if !isListed[name] {
					continue
				}
				directory = append(directory, name)
				if r := records[name]; !isCutOff[name] && rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
					if r.LastAnswer.IsZero() || rapid.Bool().Draw(t, "hears of election") {
						r = r.WithCoordinatorRevision(newest)
					}
					records[name] = r.WithAnswer(now)
				}
			}
			for i, c := range all {
				for _, name := range directory {
					if c.isInside == isCutOff[name] && rapid.IntRange(0, 7).Draw(t, "reports") > 0 {
						records[name] = records[name].WithCoordinatorRevision(c.revision)
						c.reports[name] = records[name].WithReportedAt(now)
					}
				}
				maps.DeleteFunc(c.reports, func(_ string, r reachability.Reachability) bool { return now.Sub(r.ReportedAt) > maxReportAge })
				mayWrite := c.revision == newest && !c.isInside
				if mayWrite && c.writing != nil && rapid.Bool().Draw(t, "retried") {
					stored = append(slices.Clone(c.electorate.Earlier()), c.writing)
					c.electorate, c.writing = c.electorate.WithWritten(), nil
				}
				if mayWrite && c.electorate.NeedsWrite(directory) && rapid.Bool().Draw(t, "writes") {
					c.electorate, c.writing = c.electorate.WithWrite(directory), directory
					if rapid.Bool().Draw(t, "takes effect") {
						stored = append(slices.Clone(c.electorate.Earlier()), directory)
						if rapid.Bool().Draw(t, "answered") {
							c.electorate, c.writing = c.electorate.WithWritten(), nil
						}
					}
				}
				if c.electorate.IsStoreUnreachable(c.reports) {
					c.lastFinding = now
				}
				if since, ok := c.electorate.StoreReachableSince(c.reports); ok && !c.isKnown {
					c.isKnown, c.knownSince = true, since
				}
				for _, later := range all[i:] {
					for _, earlier := range all[:i] {
						if later.isKnown && !earlier.lastFinding.IsZero() && earlier.lastFinding.After(later.knownSince.Add(maxReportAge)) {
							t.Fatalf("coordinator %d knows that the store has been reachable since %v, but %d found it unreachable at %v", later.revision,
								later.knownSince.Sub(start), earlier.revision, earlier.lastFinding.Sub(start))
						}
					}
				}
			}
		}
	})
}

// A coordinator would find the store unreachable by a set that was lost with the store's last seconds, and renew grants beside those
// of its successor. The lost set may have a quarter of the known hosts less, or half as many more.
func TestLostSetsAreCoveredByTheHostsThatWereKnown(t *testing.T) {
	const earlierRevision, newRevision = 10, 20
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		known, missing := rapid.IntRange(1, 16).Draw(t, "known"), 0
		if known >= 4 {
			missing = rapid.IntRange(0, known/4).Draw(t, "missing")
		}
		additional := rapid.IntRange(0, 2*(known/4-missing)).Draw(t, "additional")
		var names, lost []string
		toEarlier, toNew := map[string]reachability.Reachability{}, map[string]reachability.Reachability{}
		for i := range known + additional {
			name := strconv.Itoa(i)
			if i < known {
				names = append(names, name)
			}
			if i >= missing {
				lost = append(lost, name)
			}
			r := reachability.Reachability{ReachableSince: now.Add(-time.Minute), LastAnswer: now, CoordinatorRevision: newRevision}
			if rapid.Bool().Draw(t, "cut off") {
				r = reachability.Reachability{ReachableSince: now.Add(-time.Minute), LastAnswer: now.Add(-10 * time.Second), CoordinatorRevision: earlierRevision}
			}
			toEarlier[name], toNew[name] = r.WithReportedAt(now), r.WithReportedAt(now)
		}
		earlier := electorate.New(earlierRevision).WithEarlier(nil).WithWrite(lost).WithWritten()
		next := electorate.New(newRevision).WithOlder(nil, names)
		if _, ok := next.StoreReachableSince(toNew); ok && earlier.IsStoreUnreachable(toEarlier) {
			t.Fatalf("the successor counts on %v, the coordinator with the lost set %v finds the store unreachable", names, lost)
		}
		if next.NeedsWrite(names) {
			t.Fatal("a set is to be stored, although the lost ones may count")
		}
	})
}

func TestLostSetsAreNotCoveredByNoHosts(t *testing.T) {
	if _, ok := electorate.New(20).WithOlder(nil, nil).StoreReachableSince(nil); ok {
		t.Error("nothing is known of the lost sets, and the store counts as reachable")
	}
}

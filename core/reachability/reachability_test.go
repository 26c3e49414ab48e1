package reachability_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/reachability"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestContact(t *testing.T) {
	c := reachability.Reachability{}
	if !c.IsBroken(start) {
		t.Error("a host that never heard from the store has contact")
	}
	for s := 0.0; s < 10; s++ {
		c = c.With(at(s))
	}
	if c.IsBroken(at(10.5)) || !c.Since.Equal(start) {
		t.Errorf("words a second apart: since %v", c.Since.Sub(start))
	}
	if !c.IsBroken(at(11)) {
		t.Error("no word for 2 s, and still contact")
	}
	if c = c.With(at(12)); !c.Since.Equal(at(12)) {
		t.Errorf("after a break: since %v, want 12 s", c.Since.Sub(start))
	}
}

// Once a new coordinator is told since when the store can't have been away, an earlier one has not found it away after that
// time, and never does from then on, whatever hosts hear and whoever reaches whom.
func TestAwayAndSoundExcludeEachOther(t *testing.T) {
	const earlier, later = 10, 20
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		contacts := make([]reachability.Reachability, hosts)
		var lastAway time.Time
		isSound := false
		for step := range 120 {
			now := at(float64(step) * 0.4)
			reach := rapid.IntRange(0, 10).Draw(t, "reach")
			for i := range contacts {
				if rapid.IntRange(0, 9).Draw(t, "hears") < reach {
					contacts[i] = contacts[i].With(now)
				}
			}
			isElected := step > 60
			var old, new []reachability.Reachability
			for i := range contacts {
				reached := rapid.IntRange(0, 7).Draw(t, "reached")
				if reached < 7 {
					old = append(old, contacts[i])
				}
				if isElected && reached > 0 {
					contacts[i] = contacts[i].WithCoordinator(later)
					new = append(new, contacts[i])
				}
			}
			if reachability.IsAway(old, hosts, earlier, now) {
				lastAway = now
				if isSound {
					t.Fatalf("%v: away, after the new coordinator was told that it can't be", now.Sub(start))
				}
			}
			if since, ok := reachability.SoundSince(new, hosts, later, now); ok {
				isSound = true
				if !lastAway.IsZero() && lastAway.After(since) {
					t.Fatalf("%v: sound since %v, but away at %v", now.Sub(start), since.Sub(start), lastAway.Sub(start))
				}
			}
		}
	})
}

func TestWhoCounts(t *testing.T) {
	now := at(100)
	hosts := func(n int, c reachability.Reachability) []reachability.Reachability {
		var all []reachability.Reachability
		for range n {
			all = append(all, c)
		}
		return all
	}
	broken := reachability.Reachability{Since: at(1), Last: at(90), Coordinator: 5}
	sound := reachability.Reachability{Since: at(1), Last: at(99.5), Coordinator: 5}
	for _, c := range []struct {
		name     string
		contacts []reachability.Reachability
		away     bool
	}{
		{"all have lost the store", hosts(9, broken), true},
		{"two thirds have", append(hosts(6, broken), hosts(3, sound)...), true},
		{"fewer have", append(hosts(5, broken), hosts(4, sound)...), false},
		{"some have heard of a newer coordinator", append(hosts(5, broken), hosts(4, broken.WithCoordinator(6))...), false},
		{"all have just started", hosts(9, reachability.Reachability{}), false},
		{"too few tell", hosts(5, broken), false},
	} {
		if got := reachability.IsAway(c.contacts, 9, 5, now); got != c.away {
			t.Errorf("%s: away %v, want %v", c.name, got, c.away)
		}
	}
	if _, ok := reachability.SoundSince(hosts(9, sound), 9, 6, now); ok {
		t.Error("sound by hosts that have not heard of the coordinator")
	}
	if since, ok := reachability.SoundSince(append(hosts(4, broken), hosts(5, sound)...), 9, 5, now); !ok || !since.Equal(at(1)) {
		t.Errorf("sound since %v, %v; want 1 s", since.Sub(start), ok)
	}
}

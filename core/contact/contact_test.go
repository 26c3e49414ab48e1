package contact_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/contact"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestContact(t *testing.T) {
	c := contact.Contact{}
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

// The store is never away at a time since when another coordinator is told that it can't have been, whatever hosts hear and
// whoever reaches whom.
func TestAwayAndSoundExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		contacts := make([]contact.Contact, hosts)
		var lastAway time.Time
		reached := func(name string) []contact.Contact {
			var some []contact.Contact
			for i := range contacts {
				if rapid.IntRange(0, 9).Draw(t, name) > 0 {
					some = append(some, contacts[i])
				}
			}
			return some
		}
		for step := range 120 {
			now := at(float64(step) * 0.4)
			reach := rapid.IntRange(0, 10).Draw(t, "reach")
			for i := range contacts {
				if rapid.IntRange(0, 9).Draw(t, "hears") < reach {
					contacts[i] = contacts[i].With(now)
				}
			}
			if contact.IsAway(reached("old"), hosts, now) {
				lastAway = now
			}
			if since, ok := contact.SoundSince(reached("new"), hosts, now); ok && !lastAway.IsZero() && lastAway.After(since) {
				t.Fatalf("%v: sound since %v, but away at %v", now.Sub(start), since.Sub(start), lastAway.Sub(start))
			}
		}
	})
}

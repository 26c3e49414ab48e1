package announcements_test

import (
	"fmt"
	"testing"
	"time"

	"redwingsill/core/announcements"
	"redwingsill/core/instance"
	"redwingsill/core/roster"
)

const drainTime = 2 * time.Second

var heard = time.Unix(1000, 0)

func TestLeavingBelongsToOneIncarnationWhateverItsEntrySays(t *testing.T) {
	first := instance.Instance{ID: "a", StartMillis: 1, Service: "s", Address: "127.0.0.1:1"}
	later := instance.Instance{ID: "a", StartMillis: 2, Service: "s", Address: "127.0.0.1:1"}
	neighbour := instance.Instance{ID: "b", StartMillis: 1, Service: "s", Address: "127.0.0.1:1"}
	announced := announcements.Announcements{}.WithLeaving("a@1", heard).WithLeaving("a@1", heard.Add(time.Hour))
	deadline := heard.Add(drainTime)
	for _, c := range []struct {
		name   string
		listed instance.Instance
		want   instance.Instance
	}{
		{"ready", first, first.WithLeaving(deadline)},
		{"leaving since later", first.WithLeaving(deadline.Add(time.Second)), first.WithLeaving(deadline)},
		{"leaving since earlier", first.WithLeaving(deadline.Add(-time.Second)), first.WithLeaving(deadline.Add(-time.Second))},
		{"under the same ID with a later start", later, later},
		{"another server at the same address", neighbour, neighbour},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, _ := announced.AppliedTo(roster.New(c.listed), drainTime).Find(c.listed.ID); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
	if got := announced.AppliedTo(roster.New(), drainTime); got.Len() != 0 {
		t.Errorf("a server without an entry is listed: %+v", got)
	}
}

func TestPrunedKeepsWhatMayStillCount(t *testing.T) {
	first := roster.New(instance.Instance{ID: "a", StartMillis: 1, Service: "s"})
	later := roster.New(instance.Instance{ID: "a", StartMillis: 2, Service: "s"})
	leaving := announcements.Announcements{}.WithLeaving("a@1", heard)
	paused := announcements.Announcements{}.WithPause("a@1", heard.Add(time.Minute), heard).WithPause("a@1", heard.Add(time.Second), heard)
	for _, c := range []struct {
		name      string
		announced announcements.Announcements
		servers   roster.Roster
		now       time.Time
		want      int
	}{
		{"leaving and listed", leaving, first, heard.Add(time.Hour), 1},
		{"leaving and missing for a short time", leaving, roster.New(), heard.Add(time.Minute), 1},
		{"leaving and missing for long", leaving, roster.New(), heard.Add(time.Hour), 0},
		{"leaving, with a successor", leaving, later, heard, 0},
		{"paused", paused, first, heard.Add(59 * time.Second), 1},
		{"no longer paused", paused, first, heard.Add(time.Minute), 0},
		{"paused, with a successor", paused, later, heard, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.announced.Pruned(c.servers, c.now).Len(); got != c.want {
				t.Errorf("got %d incarnations on record, want %d", got, c.want)
			}
		})
	}
}

func TestRecordKeepsItsNewestEntriesWithinItsBound(t *testing.T) {
	const bound = 1024
	a := announcements.Announcements{}
	for n := range bound + 1 {
		a = a.WithLeaving(fmt.Sprintf("i%d@1", n), heard.Add(time.Duration(n)))
	}
	if a.Len() != bound || a.IsLeaving("i0@1") || !a.IsLeaving(fmt.Sprintf("i%d@1", bound)) {
		t.Errorf("%d incarnations on record, the first among them: %t", a.Len(), a.IsLeaving("i0@1"))
	}
}

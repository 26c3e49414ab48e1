package evacuation_test

import (
	"testing"
	"time"

	"redwingsill/core/evacuation"
	"redwingsill/core/instance"
	"redwingsill/core/roster"
)

var start = time.Unix(1000, 0)

func server(id, dataCentre string) instance.Instance {
	return instance.Instance{ID: id, StartMillis: 1, Service: "stock", DataCentre: dataCentre, Slots: 3}
}

// Guards against a second write of the key, or a late list, that prolongs an evacuation.
func TestALaterDeadlineDoesNotProlongAnEvacuation(t *testing.T) {
	e := evacuation.Evacuation{}.With("a", start).With("a", start.Add(time.Second))
	if deadline, ok := e.SendDeadline("a"); !ok || !deadline.Equal(start) {
		t.Errorf("deadline %v, %v", deadline, ok)
	}
	if deadline, _ := e.With("a", start.Add(-time.Second)).SendDeadline("a"); !deadline.Equal(start.Add(-time.Second)) {
		t.Errorf("an earlier deadline has no effect: %v", deadline)
	}
}

// Guards against an evacuation that touches other data centres, or that goes on after its end while another one lasts.
func TestOnlyServersOfEvacuatedDataCentresAreMarked(t *testing.T) {
	servers := roster.New(server("s1", "a"), server("s2", "b"), server("s3", "c"))
	both := evacuation.Evacuation{}.With("a", start).With("b", start.Add(time.Second)).With("nowhere", start)
	for name, c := range map[string]struct {
		evacuations evacuation.Evacuation
		want        map[string]bool
	}{
		"none":          {evacuation.Evacuation{}, map[string]bool{}},
		"two":           {both, map[string]bool{"s1": true, "s2": true}},
		"one has ended": {both.Without("a"), map[string]bool{"s2": true}},
		"all ended":     {both.Without("a").Without("b").Without("nowhere").Without("other"), map[string]bool{}},
	} {
		for _, i := range c.evacuations.AppliedTo(servers).All() {
			if i.IsEvacuated != c.want[i.ID] || i.IsLeaving != c.want[i.ID] {
				t.Errorf("%s: server %s is marked: %v, %v", name, i.ID, i.IsEvacuated, i.IsLeaving)
			}
		}
	}
	if !both.Without("a").Without("b").Without("nowhere").AppliedTo(servers).Equal(servers) {
		t.Error("a server whose evacuation has ended differs from one that was never evacuated")
	}
}

// Guards against an evacuation that lets a draining server get requests for longer.
func TestTheEarlierDeadlineOfALeavingServerStays(t *testing.T) {
	leaving := server("s1", "a").WithLeaving(start)
	marked, _ := evacuation.Evacuation{}.With("a", start.Add(time.Second)).AppliedTo(roster.New(leaving)).Find("s1")
	if marked.AcceptsRequests(start) || !marked.IsEvacuated {
		t.Errorf("accepts requests until %v", marked.SendDeadline)
	}
}

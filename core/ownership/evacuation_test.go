package ownership_test

import (
	"slices"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
)

// usualTime is the time left when an evacuation becomes known: the bound of 5 s, less the margin and the usual age of the confirmation.
const usualTime = 3500 * time.Millisecond

// Guards against keys that are left in an evacuated data centre when nothing may be sent there any more, against moving a range
// twice, and against moving so many at once that a large part of the keys is unserved.
func TestAllKeysLeaveAnEvacuatedDataCentreInOrder(t *testing.T) {
	r := newEvacuationRun()
	began, deadline := r.now, r.now.Add(usualTime)
	r.releases, r.handovers, r.saves, r.maxUnserved = map[keyrange.Range]int{}, 0, 3, 0
	clear(r.heldUntil) // grants from before the evacuation end by a release
	r.evacuate("zone-1", usualTime)
	for r.keysOf("zone-1") > 0 && r.now.Before(deadline) {
		r.runFor(20 * time.Millisecond)
	}
	t.Logf("evacuated in %v by %d releases and %d writes; at most %d keys were unserved", r.now.Sub(began), len(r.releases), r.saves-3, r.maxUnserved)
	if r.keysOf("zone-1") > 0 {
		t.Fatalf("%d keys are left", r.keysOf("zone-1"))
	}
	for moved, count := range r.releases {
		if count > 1 {
			t.Errorf("range %v was released %d times", moved, count)
		}
	}
	if r.maxUnserved > 65536/8 {
		t.Errorf("%d keys were unserved at once, want at most half of those that move", r.maxUnserved)
	}
	r.runFor(4 * time.Second)
	if r.handovers == 0 {
		t.Error("no handover reached a new owner")
	}
	for _, i := range r.members {
		if i.DataCentre == "zone-1" && (!r.calls[i.Incarnation()].Before(deadline) || r.heldUntil[i.Incarnation()].After(deadline)) {
			t.Errorf("server %s: last call %v and end of grants %v after the deadline", i.ID, r.calls[i.Incarnation()].Sub(deadline),
				r.heldUntil[i.Incarnation()].Sub(deadline))
		}
	}
}

// Guards against an evacuation of two data centres that leaves keys behind, or that moves keys from one to the other for good.
func TestTwoDataCentresAreEvacuatedAtOnce(t *testing.T) {
	r := newEvacuationRun()
	r.evacuate("zone-1", 3*time.Second)
	r.runFor(500 * time.Millisecond)
	r.evacuate("zone-2", 3*time.Second)
	r.runFor(3 * time.Second)
	if r.keysOf("zone-1")+r.keysOf("zone-2") > 0 {
		t.Errorf("%d and %d keys are left", r.keysOf("zone-1"), r.keysOf("zone-2"))
	}
	most, fewest := 0, 65536
	for _, i := range r.members {
		if i.DataCentre == "zone-0" || i.DataCentre == "zone-3" {
			count := r.state.Keys().KeyCount(i.Incarnation())
			most, fewest = max(most, count), min(fewest, count)
		}
	}
	if most > 3*65536/88 {
		t.Errorf("a server owns %d keys, another %d; the mean is %d", most, fewest, 65536/88)
	}
}

// Guards against keys that stay unserved after an evacuation was called off, and servers that are not used again.
func TestAnEvacuationThatEndsHalfWayMovesNoMoreKeys(t *testing.T) {
	r := newEvacuationRun()
	before := r.keysOf("zone-1")
	r.evacuate("zone-1", usualTime)
	r.runFor(time.Second)
	r.endEvacuation("zone-1")
	r.runFor(time.Second)
	left := r.keysOf("zone-1")
	if left == 0 || left == before {
		t.Errorf("%d of %d keys are left after the end", left, before)
	}
	unserved := r.state.Unserved()
	r.runFor(time.Second)
	for _, u := range r.state.Unserved() {
		if slices.Contains(unserved, u) {
			t.Errorf("range %v is still unserved", u)
		}
	}
	r.runFor(10 * time.Second)
	for _, i := range r.members {
		if r.state.Keys().KeyCount(i.Incarnation()) == 0 {
			t.Errorf("server %s is not used again", i.ID)
		}
	}
}

// Guards against keys that can't move (their owner answers no release) staying with an evacuated server for longer than its
// grants, and against calls to it after the deadline.
func TestKeysOfASilentEvacuatedServerMoveWhenItsGrantsHaveExpired(t *testing.T) {
	r := newEvacuationRun()
	r.silent["s1"] = true
	deadline := r.now.Add(3 * time.Second)
	r.evacuate("zone-1", 3*time.Second)
	// The last grant ends at the deadline by the clock of the server. It may have arrived a call's timeout late.
	r.runFor(3*time.Second + 2*modelTiming.CallTimeout)
	if count := r.keysOf("zone-1"); count > 0 {
		t.Errorf("%d keys are left", count)
	}
	if !r.calls["s1@1"].Before(deadline) {
		t.Errorf("last call %v after the deadline", r.calls["s1@1"].Sub(deadline))
	}
}

// Guards against a service all of whose servers are evacuated losing its keys for good.
func TestAServiceWithoutOtherDataCentresKeepsItsOwners(t *testing.T) {
	r := newEvacuationRun()
	for _, zone := range []string{"zone-0", "zone-1", "zone-2", "zone-3"} {
		r.evacuate(zone, 2*time.Second)
	}
	r.runFor(5 * time.Second)
	for _, zone := range []string{"zone-0", "zone-1", "zone-2", "zone-3"} {
		r.endEvacuation(zone)
	}
	ended := r.now
	r.runFor(time.Second)
	for _, i := range r.members {
		if r.state.Keys().KeyCount(i.Incarnation()) == 0 || r.heldUntil[i.Incarnation()].Before(ended) {
			t.Errorf("server %s owns %d keys until %v after the end", i.ID, r.state.Keys().KeyCount(i.Incarnation()), r.heldUntil[i.Incarnation()].Sub(ended))
		}
	}
}

// Guards against calls, beyond the deadline, to a server that discovery no longer listed when its data centre was evacuated.
func TestNothingIsSentToAnUnlistedServerOfAnEvacuatedDataCentre(t *testing.T) {
	r := newEvacuationRun()
	r.silent["s1"] = true
	r.members = slices.DeleteFunc(slices.Clone(r.members), func(i instance.Instance) bool { return i.ID == "s1" })
	r.runFor(200 * time.Millisecond)
	deadline := r.now.Add(time.Second)
	r.evacuate("zone-1", time.Second)
	r.runFor(6 * time.Second)
	if last := r.calls["s1@1"]; !last.Before(deadline) || last.Before(deadline.Add(-600*time.Millisecond)) {
		t.Errorf("last call %v after the deadline", last.Sub(deadline))
	}
	if r.state.Keys().KeyCount("s1@1") > 0 {
		t.Error("the server still owns keys")
	}
}

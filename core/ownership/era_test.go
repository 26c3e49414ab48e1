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

var (
	eraStart  = time.Unix(1_000_000, 0)
	eraServer = instance.Instance{ID: "a", StartMillis: 1, Service: "s", Address: "10.0.0.1:80", Slots: 2}
	eraKeys   = keymap.New(holding.Holding{Range: keyrange.All(), Owner: eraServer.Incarnation(), Fence: 7})
)

// newEraOwnership returns a coordinator with the lease of the model that has owned eraKeys for a while.
func newEraOwnership(keys keymap.Map) ownership.Ownership {
	return ownership.New(modelTiming, keys, 0, eraStart.Add(-time.Minute)).WithLease(eraStart.Add(lease)).
		WithMembers([]instance.Instance{eraServer}, eraStart.Add(-time.Minute))
}

// eraTick returns the state at a time after eraStart, and the number of grants, releases and writes.
func eraTick(o ownership.Ownership, after time.Duration) (next ownership.Ownership, grants, others int) {
	next, commands := o.WithTick(&model{now: eraStart.Add(after), load: keyload.New()}, eraStart.Add(after))
	for _, c := range commands {
		if _, ok := c.(command.Grant); ok {
			grants++
		} else {
			others++
		}
	}
	return next, grants, others
}

// A coordinator that stopped at once would leave its keys without renewals, and one that went on could not save its moves.
func TestCoordinatorWithALostMapOnlyRenews(t *testing.T) {
	o, ok := newEraOwnership(eraKeys).WithLostEra(eraStart)
	if !ok {
		t.Fatal("the map does not count as known")
	}
	o, grants, others := eraTick(o, 0)
	if grants == 0 || others > 0 {
		t.Errorf("%d grants and %d other commands, want only renewals", grants, others)
	}
	o = o.WithStoreUnreachable(eraStart.Add(lease))
	if _, grants, _ = eraTick(o, lease); grants > 0 {
		t.Errorf("%d grants after the end of the lease by what hosts report of the store in the new era", grants)
	}
	if o.IsActing(eraStart.Add(lease + modelTiming.OutageDetectionTime)) {
		t.Error("the state outlives the time in which no other coordinator can have granted keys")
	}
}

// Guards against a map that counts as known although another coordinator may have given keys on.
func TestMapIsNotKnownInTheNextEra(t *testing.T) {
	gap := keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 9}, Owner: eraServer.Incarnation(), Fence: 7})
	for name, o := range map[string]ownership.Ownership{
		"the lease has ended":      newEraOwnership(eraKeys).WithLease(eraStart),
		"a range has no owner":     newEraOwnership(gap),
		"there is no map":          newEraOwnership(keymap.New()),
		"it is an older map":       ownership.NewFromOlderMap(modelTiming, eraKeys, 1<<32, eraStart).WithLease(eraStart.Add(lease)),
		"a write to it has failed": failedSave(newEraOwnership(eraKeys)),
	} {
		if _, ok := o.WithLostEra(eraStart); ok {
			t.Errorf("%s: the map counts as known", name)
		}
	}
}

// failedSave returns the state after a write whose conditions did not hold.
func failedSave(o ownership.Ownership) ownership.Ownership {
	o, commands := o.WithTick(&model{now: eraStart, load: keyload.New()}, eraStart)
	for _, c := range commands {
		if save, ok := c.(command.Save); ok {
			o = o.WithSaveResult(save, command.Stale, eraStart)
		}
	}
	return o
}

// Requests would be sent to the owners in the copy for as long as the wait lasts, and be refused.
func TestKeysOfAnOlderMapAreUnservedOnceHoldsHaveEnded(t *testing.T) {
	o := ownership.NewFromOlderMap(modelTiming, eraKeys, 1<<32, eraStart).WithLease(eraStart.Add(time.Minute))
	if o, _, _ = eraTick(o, time.Second); len(o.Unserved()) > 0 {
		t.Errorf("%v is unserved while owners may hold it", o.Unserved())
	}
	if o, _, _ = eraTick(o, modelTiming.HoldTime); len(o.Unserved()) != 1 || o.Unserved()[0] != keyrange.All() {
		t.Errorf("%v is unserved after the holds", o.Unserved())
	}
}

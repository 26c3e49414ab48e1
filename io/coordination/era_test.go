package coordination

import (
	"context"
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/era"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/kind"
	"redwingsill/core/reachability"
	"redwingsill/core/record"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
)

// The coordinator's keys would not be served until all holds have ended, if it forgot what it granted.
func TestCoordinatorWithALeaseGoesOnInTheNextEra(t *testing.T) {
	r := newServedRun(t)
	before, fenceBefore, _ := r.stored(t)
	r.store.returnTo(r.copied, r.copiedAt)
	grants := r.run(1200 * time.Millisecond)
	if !r.tenure.isCoordinator || era.Of(r.tenure.revision) != 1 || len(grants) == 0 {
		t.Fatalf("tenure %+v after the return, and %d grants; want another term and renewals", r.tenure, len(grants))
	}
	for _, g := range grants {
		if h, _ := before.HoldingOf(g.Range.From); h.Fence != g.Fence {
			t.Errorf("the grant %+v has another token than the %d before", g, h.Fence)
		}
	}
	after, fence, written := r.stored(t)
	if len(after.Holdings()) != len(before.Holdings()) || after.Holdings()[0] != before.Holdings()[0] || written != 1 || fence < fenceBefore+1<<32 {
		t.Errorf("stored %v with the reserved token %d in era %d; want %v, a token raised above %d, and era 1", after.Holdings(), fence, written,
			before.Holdings(), fenceBefore)
	}
}

// Two returns in a row: the first one was not over for the coordinator when the next came.
func TestCoordinatorGoesOnAfterTwoEras(t *testing.T) {
	r := newServedRun(t)
	_, fenceBefore, _ := r.stored(t)
	r.store.failingCommits = 1000
	r.store.returnTo(r.copied, r.copiedAt)
	r.run(300 * time.Millisecond)
	r.store.failingCommits = 0
	r.store.returnTo(r.copied, r.copiedAt)
	r.run(1200 * time.Millisecond)
	if _, fence, written := r.stored(t); !r.tenure.isCoordinator || written != 2 || fence < fenceBefore+2<<32 {
		t.Errorf("the reserved token is %d in era %d, coordinator %v; want one raised twice above %d", fence, written, r.tenure.isCoordinator, fenceBefore)
	}
}

// A coordinator whose lease had ended can't know whether another one has moved keys before the return.
func TestCoordinatorWithoutALeaseForgetsItsGrantsInTheNextEra(t *testing.T) {
	r := newServedRun(t)
	r.advance(testTiming.LeaseDuration)
	r.store.returnTo(r.copied, r.copiedAt)
	if grants := r.run(time.Second); len(grants) > 0 || r.tenure.isCoordinator {
		t.Errorf("%d grants, coordinator %v; want none, and that others may campaign first", len(grants), r.tenure.isCoordinator)
	}
	if grants := r.run(testTiming.LongestInheritance() - time.Second); len(grants) > 0 || !r.tenure.isCoordinator {
		t.Errorf("%d grants while earlier ones may be in force, coordinator %v", len(grants), r.tenure.isCoordinator)
	}
}

// The owner in the copied map may have released its keys to another server.
func TestMapOfAnEarlierEraIsUsedOnlyAfterAllHolds(t *testing.T) {
	r := newEraRun(t)
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: testServer.Incarnation(), Fence: 7})
	value, err := registry.EncodeOwners(keys, 9, "w", 0)
	if err != nil {
		t.Fatal(err)
	}
	r.store.put(registry.OwnersKey("s"), value)
	r.copyStore()
	r.store.returnTo(r.copied, r.copiedAt)
	r.run(newEraHeadStart - 50*time.Millisecond)
	if r.tenure.isCoordinator {
		t.Fatal("elected before the coordinator of the era before could be")
	}
	r.run(500 * time.Millisecond)
	elected := r.tenure.electedAt
	if !r.tenure.isCoordinator {
		t.Fatal("not elected")
	}
	report := func() {
		r.reports = map[string]reachability.Reachability{"edge-1": reachability.Reachability{ReachableSince: testStart.Add(-time.Minute), LastAnswer: r.clock.Load(),
			CoordinatorRevision: r.tenure.revision}.WithReportedAt(r.clock.Load())}
	}
	report()
	if grants := r.run(elected.Add(6500 * time.Millisecond).Sub(r.clock.Load())); len(grants) > 0 {
		t.Errorf("%d grants, the first one for %v, before the holds have ended", len(grants), grants[0].Range)
	}
	if _, _, written := r.stored(t); written != 0 {
		t.Error("the map is marked as current before the holds have ended: a successor would use it")
	}
	grants := r.run(time.Second)
	if len(grants) == 0 || grants[0].Fence <= 9+1<<32 {
		t.Errorf("the grants %v after the holds have ended; want new tokens", grants)
	}
	if _, _, written := r.stored(t); written != 1 {
		t.Errorf("the map is of era %d", written)
	}
	r.run(5 * time.Second)
	if n := r.store.commits[registry.ElectorateKey]; n > 0 {
		t.Error("a set of hosts is stored beside those that were lost; a successor would count on it alone")
	}
}

// The key of a coordinator that is gone may be in the copy without a lease, and would stay for ever.
func TestCopiedKeyOfTheCoordinatorIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		era  era.Era
		want bool
	}{{"of the era before", 0, true}, {"of this era", 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			r := newEraRun(t)
			value, err := registry.EncodeCoordinator("edge-2", "w", c.era)
			if err != nil {
				t.Fatal(err)
			}
			r.store.put(registry.CoordinatorKey, value)
			r.copyStore()
			r.store.returnTo(r.copied, r.copiedAt)
			r.watch()
			r.run(newEraHeadStart + 500*time.Millisecond)
			if r.tenure.isCoordinator != c.want {
				t.Errorf("coordinator %v, want %v", r.tenure.isCoordinator, c.want)
			}
		})
	}
}

// The owners may be read from the copy by a coordinator of the era before.
func TestOwnersReadFromACopyAreNotKnownGrants(t *testing.T) {
	r := newEraRun(t)
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: testServer.Incarnation(), Fence: 7})
	value, err := registry.EncodeOwners(keys, 9, "w", 0)
	if err != nil {
		t.Fatal(err)
	}
	r.store.put(registry.OwnersKey("s"), value)
	r.copyStore()
	r.tenure = tenure{isCoordinator: true, leaseID: 1, revision: 5, leaseEnd: testStart.Add(testTiming.LeaseDuration), renewedAt: testStart}
	r.store.returnTo(r.copied, r.copiedAt)
	r.loadNewServices(testStart)
	service := r.services["s"]
	r.apply()
	if service.isLoaded || r.services["s"] != nil {
		t.Error("the owners in the copy count as known")
	}
}

// A host that learns late may ask others before its own call to the store is answered.
func TestHostLearnsOfTheEraFromReports(t *testing.T) {
	h := newHarness(t)
	service := newTestService(testStart)
	service.state = service.state.WithMembers([]instance.Instance{testServer}, testStart).WithLease(testStart.Add(testTiming.LeaseDuration))
	h.services["s"] = service
	h.tenure = tenure{isCoordinator: true, leaseID: 1, revision: 5, leaseEnd: testStart.Add(testTiming.LeaseDuration), renewedAt: testStart}
	h.peers = peersStub{"edge-2": {CoordinatorRevision: era.Era(1).Start()}}
	h.advance(testTiming.LeaseDuration/2 + time.Millisecond)
	h.checkStoreReachability(h.clock.Load())
	if h.tenure.isCoordinator || h.era != 1 || h.services["s"] != service || !service.state.IsMapLost() {
		t.Errorf("tenure %+v, era %d; want no tenure, era 1 and the known grants", h.tenure, h.era)
	}
}

// eraCommits answers each write with Unknown, and then finds the value in a copy of the next era.
type eraCommits struct {
	*storeStub
	value []byte
}

func (s eraCommits) Commit(context.Context, transaction.Transaction) (int64, error) {
	return 0, storeError(kind.Conflict)
}

func (s eraCommits) Get(context.Context, string) (record.Record, error) {
	return record.Record{Value: s.value, Revision: era.Era(1).Position(7)}, nil
}

// A grant must not follow from a write that took effect in another era than that of its conditions.
func TestWriteFoundInAnotherEraIsNotDone(t *testing.T) {
	r := newEraRun(t)
	value, err := registry.EncodeOwners(keymap.New(), 9, "w", 0)
	if err != nil {
		t.Fatal(err)
	}
	r.Coordination.store = eraCommits{r.store, value}
	for expected, want := range map[int64]command.Result{7: command.Stale, era.Era(1).Position(5): command.Done} {
		if got, _ := r.tryWrite(t.Context(), "k", "w", transaction.Transaction{}.WithExpected("k", expected)); got != want {
			t.Errorf("a write of era %d: %v, want %v", era.Of(expected), got, want)
		}
	}
}

// Another coordinator of the new era may have written the map and moved keys since, whose owners must not be renewed by this one.
func TestKnownGrantsHaveNoPartInTheNewLeaseUntilTheOwnersAreRead(t *testing.T) {
	h := newHarness(t)
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: testServer.Incarnation(), Fence: 7})
	value, err := registry.EncodeOwners(keys, 9, "w", 1)
	if err != nil {
		t.Fatal(err)
	}
	service := newTestService(testStart)
	service.state = service.state.WithMembers([]instance.Instance{testServer}, testStart).WithLease(testStart.Add(testTiming.LeaseDuration))
	h.services["s"] = service
	h.tenure = tenure{isCoordinator: true, leaseID: 1, revision: 5, leaseEnd: testStart.Add(testTiming.LeaseDuration), renewedAt: testStart}
	h.storeEra = 1
	h.updateEra(testStart)
	h.owners.Store(record.Record{Revision: era.Era(1).Position(3), Value: value})
	h.startTenure(2, era.Era(1).Position(2), testStart, testTiming.LeaseDuration)
	h.setLeaseEnd(testStart.Add(time.Minute))
	h.advance(testTiming.LeaseDuration)
	if n := len(grantsIn(h.tick(service))); n > 0 {
		t.Errorf("%d grants under the new lease before the owners were read", n)
	}
	h.apply()
	h.apply()
	if h.services["s"] == service {
		t.Error("the grants of before count beside those of the coordinator that has written the owners since")
	}
}

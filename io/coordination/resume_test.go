package coordination

import (
	"testing"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownership"
	"redwingsill/core/record"
)

func newTestService(now time.Time) *shardedService {
	keys := keymap.New(holding.Holding{Range: keyrange.All(), Owner: testServer.Incarnation(), Fence: 1})
	return &shardedService{state: ownership.New(testTiming, keys, 0, now), isLoaded: true, isStoreReachableSinceKnown: true}
}

// A host that is elected again reckons with a coordinator between its two terms.
func TestResumedOwnershipReckonsWithACoordinatorInBetween(t *testing.T) {
	h := newHarness(t)
	service := newTestService(testStart)
	h.services["s"] = service
	h.advance(time.Second)
	h.startTenure(2, 2, h.clock.Load(), testTiming.LeaseDuration)
	if !service.state.HasInheritedGrants(h.clock.Load().Add(testTiming.HoldTime)) || service.isStoreReachableSinceKnown {
		t.Errorf("inherited grants count until %v, store known to be reachable %v; want those of a coordinator that may still act",
			service.state.InheritedUntil(), service.isStoreReachableSinceKnown)
	}
}

func TestResumedOwnershipHasNoLeaseUntilItsOwnersAreRead(t *testing.T) {
	h := newHarness(t)
	service := newTestService(testStart)
	h.services["s"] = service
	h.startTenure(2, 2, h.clock.Load(), testTiming.LeaseDuration)
	reads := []func(){<-h.results, <-h.results} // of the owners and of the electorate
	h.renewLease(h.clock.Load())
	h.apply()
	if service.state.IsActing(h.clock.Load()) {
		t.Error("the state of the last term is acting before the owners were read")
	}
	for _, read := range reads {
		read()
	}
	if !service.state.IsActing(h.clock.Load()) {
		t.Error("the state is not acting after the owners were read")
	}
}

// A write of the last term may have taken effect, and its answer come only in the next term.
func TestResumedOwnershipGetsItsLeaseAlthoughAWriteOfTheLastTermEndsMeanwhile(t *testing.T) {
	h := newHarness(t)
	service := newTestService(testStart)
	service.state = service.state.WithLease(testStart.Add(testTiming.LeaseDuration))
	h.services["s"] = service
	h.saveOwners("s", service, command.Save{ID: 1, Keys: service.state.Keys()})
	saved := <-h.results
	h.owners.Store(record.Record{Revision: 1})
	h.startTenure(2, 2, h.clock.Load(), testTiming.LeaseDuration)
	reads := []func(){<-h.results, <-h.results} // of the owners and of the electorate
	saved()
	for _, read := range reads {
		read()
	}
	h.advance(testTiming.LeaseDuration)
	h.renewLease(h.clock.Load())
	h.apply()
	if h.services["s"] == service && !service.state.IsActing(h.clock.Load().Add(testTiming.OutageDetectionTime)) {
		t.Errorf("the lease is renewed, but not for the state, which is still being resumed: %v", service.isResuming)
	}
}

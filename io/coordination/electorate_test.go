package coordination

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"redwingsill/core/backendservice"
	"redwingsill/core/directory"
	"redwingsill/core/keymap"
	"redwingsill/core/ownership"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/roster"
	"redwingsill/core/routing"
	"redwingsill/io/registry"
	"redwingsill/io/slotserver"
	"redwingsill/io/task"
)

var electorateTiming = ownership.Timing{LeaseDuration: 2500 * time.Millisecond, HoldTime: 4 * time.Second, UnreachableHoldTime: 10 * time.Second, UnreachableTTL: time.Second,
	CallTimeout: time.Second, UnreachableRenewGrace: 9 * time.Second}

// electorateRun is a coordinator that has just been elected at a revision, over a store in memory. Its one service has the
// highest reserved fencing token fence.
type electorateRun struct {
	*Coordination
	store    *storeStub
	now      time.Time
	hosts    *rcu.Value[directory.Directory]
	revision int64
}

func newElectorateRun(t *testing.T, store *storeStub, fence int64) *electorateRun {
	run := &electorateRun{store: store, now: time.Unix(1_000_000, 0), hosts: rcu.New(directory.Directory{})}
	run.setHosts("a", "b", "c", "d", "e", "f")
	clock := func() time.Time { return run.now }
	log := slog.New(slog.DiscardHandler)
	routes := rcu.New(routing.Routing{Version: 1, Services: map[string]backendservice.BackendService{"s": {IsSharded: true}}})
	run.Coordination = New("a", "1", electorateTiming, store, nil, registry.New(run.hosts, func() {}, log), run.hosts,
		rcu.New(roster.New()), routes, slotserver.New(clock), nil, nil, clock, log, nil)
	group, wait := task.New(t.Context())
	t.Cleanup(wait)
	run.group = group
	run.services["s"] = &shardedService{isLoaded: true, state: ownership.New(electorateTiming, keymap.New(), fence, run.now)}
	run.revision = store.put(registry.CoordinatorKey, []byte(`{"Name":"a","Mark":"x"}`))
	run.tenure = tenure{isCoordinator: true, revision: run.revision}
	return run
}

// elect starts the tenure and reads the sets of earlier coordinators.
func (r *electorateRun) elect() {
	services := r.services
	r.services = map[string]*shardedService{}
	r.startTenure(1, r.revision, r.now, 2500*time.Millisecond)
	r.services = services
	r.apply()
}

// apply waits for the result of a call and applies it.
func (r *electorateRun) apply() { (<-r.results)() }

// update lets time pass, and writes the set if that is due.
func (r *electorateRun) update(d time.Duration) {
	r.now = r.now.Add(d)
	r.updateElectorate(r.now)
}

func (r *electorateRun) setHosts(names ...string) {
	d := directory.Directory{}
	for i, name := range names {
		d = d.With(name, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000), "dc", 1)
	}
	r.hosts.Store(d)
}

// findsUnreachable reports whether the store counts as unreachable if all hosts have lost it.
func (r *electorateRun) findsUnreachable() bool {
	reports := map[string]reachability.Reachability{}
	for _, h := range r.hosts.Read().All() {
		reports[h.Name] = reachability.Reachability{ReachableSince: r.now.Add(-time.Minute), LastAnswer: r.now.Add(-10 * time.Second), CoordinatorRevision: r.revision}.WithReportedAt(r.now)
	}
	return r.tenure.electorate.IsStoreUnreachable(reports)
}

// stored returns the stored sets of hosts.
func (r *electorateRun) stored(t *testing.T) [][]string {
	t.Helper()
	sets, err := registry.DecodeElectorate(r.store.records[registry.ElectorateKey].Value)
	if err != nil {
		t.Fatal(err)
	}
	return sets
}

// storeWith returns a store with the sets of hosts of an earlier coordinator.
func storeWith(t *testing.T, hosts []string, earlier ...[]string) *storeStub {
	t.Helper()
	store := newStoreStub()
	value, err := registry.EncodeElectorate(hosts, earlier, "earlier", 0)
	if err != nil {
		t.Fatal(err)
	}
	store.put(registry.ElectorateKey, value)
	return store
}

var all = []string{"a", "b", "c", "d", "e", "f"}

func TestHostsAreStoredOnceAfterTheElection(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, all), 7)
	r.elect()
	if r.findsUnreachable() {
		t.Error("the store counts as unreachable before the set is stored")
	}
	r.update(0)
	r.apply()
	if want := [][]string{all}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("stored %v, want %v", r.stored(t), want)
	}
	if !r.findsUnreachable() {
		t.Error("the store does not count as unreachable")
	}
	r.requireCalls(t, 1, 1)
}

// requireCalls fails the test unless so many calls for the electorate were made once the hosts have stayed for 100 s.
func (r *electorateRun) requireCalls(t *testing.T, gets, commits int) {
	t.Helper()
	for range 100 {
		r.update(time.Second)
		if r.tenure.electorate.IsWriting() {
			r.apply()
		}
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if gotGets, gotCommits := r.store.gets[registry.ElectorateKey], r.store.commits[registry.ElectorateKey]; gotGets != gets || gotCommits != commits {
		t.Errorf("%d reads and %d writes, want %d and %d", gotGets, gotCommits, gets, commits)
	}
}

// Hosts that have gone for good would otherwise keep each later coordinator from knowing since when the store is reachable.
func TestSetsOfEarlierCoordinatorsAreDroppedOnceTheirGrantsHaveExpired(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}, []string{"z"}), 7)
	r.elect()
	r.update(0)
	r.apply()
	if want := [][]string{all, {"x", "y"}, {"z"}}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("stored %v, want %v", r.stored(t), want)
	}
	r.requireCalls(t, 1, 2)
	if want := [][]string{all}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("stored %v after 100 s, want %v", r.stored(t), want)
	}
}

func TestHostsAreStoredAgainWhenTheyHaveChanged(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.elect()
	r.update(0)
	r.apply()
	r.setHosts("a", "b", "c", "d")
	r.update(4 * time.Second)
	if n := r.store.commits[registry.ElectorateKey]; n != 1 {
		t.Errorf("%d writes within 5 s, want 1", n)
	}
	r.update(time.Second)
	r.apply()
	if want := [][]string{{"a", "b", "c", "d"}, {"x", "y"}}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("stored %v, want %v", r.stored(t), want)
	}
	r.setHosts(all...)
	r.update(electorateTiming.LongestInheritance())
	r.apply()
	if want := [][]string{all}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("after the last grants of earlier coordinators have expired: stored %v, want %v", r.stored(t), want)
	}
}

func TestHostsCountOnceTheLostAnswerToTheirWriteIsMadeUpFor(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.elect()
	r.store.failingCommits, r.store.lostAnswers = 1, 1
	r.update(0)
	if r.findsUnreachable() {
		t.Error("the store counts as unreachable while the result of the write is unknown")
	}
	r.apply()
	if n := r.store.commits[registry.ElectorateKey]; n != 3 || !r.findsUnreachable() {
		t.Errorf("%d writes, want 3; finds the store unreachable: %v", n, r.findsUnreachable())
	}
	r.setHosts("a", "b", "c", "d")
	r.update(electorateInterval)
	r.apply()
	if want := [][]string{{"a", "b", "c", "d"}, {"x", "y"}}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("stored %v, want %v", r.stored(t), want)
	}
}

func TestHostsOfAReplacedCoordinatorAreNotStored(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.elect()
	r.store.put(registry.CoordinatorKey, []byte(`{"Name":"b","Mark":"y"}`))
	r.update(0)
	r.apply()
	if want := [][]string{{"x", "y"}}; !slices.EqualFunc(r.stored(t), want, slices.Equal) || r.findsUnreachable() {
		t.Errorf("stored %v, want %v; finds the store unreachable: %v", r.stored(t), want, r.findsUnreachable())
	}
}

func TestHostsThatAnotherCoordinatorHasStoredAreNotReplaced(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.elect()
	value, err := registry.EncodeElectorate([]string{"u"}, nil, "other", 0)
	if err != nil {
		t.Fatal(err)
	}
	r.store.put(registry.ElectorateKey, value)
	r.update(0)
	r.apply()
	if want := [][]string{{"u"}}; !slices.EqualFunc(r.stored(t), want, slices.Equal) || r.findsUnreachable() {
		t.Errorf("stored %v, want %v; finds the store unreachable: %v", r.stored(t), want, r.findsUnreachable())
	}
}

func TestHostsOfEarlierCoordinatorsAreReadUntilThatSucceeds(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.store.failingGets = 1
	r.elect()
	r.update(0)
	if r.store.commits[registry.ElectorateKey] != 0 {
		t.Error("written before the sets of earlier coordinators were read")
	}
	r.apply()
	r.update(0)
	r.apply()
	if want := [][]string{all, {"x", "y"}}; !slices.EqualFunc(r.stored(t), want, slices.Equal) {
		t.Errorf("stored %v, want %v", r.stored(t), want)
	}
}

// The next coordinator would otherwise take the sets for all that there are.
func TestNothingIsStoredWhileUnknownCoordinatorsMayAct(t *testing.T) {
	unreadable := newStoreStub()
	unreadable.put(registry.ElectorateKey, []byte(`{"Hosts":[]}`))
	for name, store := range map[string]*storeStub{"no sets are stored": newStoreStub(), "the sets are unreadable": unreadable} {
		r := newElectorateRun(t, store, 7)
		r.elect()
		r.update(0)
		if _, ok := r.tenure.electorate.StoreReachableSince(nil); ok {
			t.Errorf("%s: the time since which the store has been reachable is known", name)
		}
		r.update(electorateTiming.LongestInheritance() - time.Second)
		if r.store.commits[registry.ElectorateKey] != 0 {
			t.Errorf("%s: written while grants of earlier coordinators may be in force", name)
		}
		r.update(time.Second)
		r.apply()
		if want := [][]string{all}; !slices.EqualFunc(r.stored(t), want, slices.Equal) || !r.findsUnreachable() {
			t.Errorf("%s: stored %v, want %v; finds the store unreachable: %v", name, r.stored(t), want, r.findsUnreachable())
		}
	}
}

func TestFirstCoordinatorStoresItsHostsAtOnce(t *testing.T) {
	r := newElectorateRun(t, newStoreStub(), 0)
	r.services["s"].isLoaded = false
	r.elect()
	r.update(0)
	if r.store.commits[registry.ElectorateKey] != 0 {
		t.Error("written before it is known whether there was an earlier coordinator")
	}
	r.services["s"].isLoaded = true
	r.update(time.Millisecond)
	r.apply()
	if want := [][]string{all}; !slices.EqualFunc(r.stored(t), want, slices.Equal) || !r.findsUnreachable() {
		t.Errorf("stored %v, want %v; finds the store unreachable: %v", r.stored(t), want, r.findsUnreachable())
	}
}

// A coordinator whose lease outlasts an outage of the store reads the owners again in the same tenure. They may still hold
// keys by its own long grants.
func TestOwnersThatAreReadAgainMayHoldLongGrantsOfThisHost(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.elect()
	r.update(0)
	r.apply()
	r.update(electorateTiming.LongestInheritance() + time.Second)
	reports := func(answeredAt time.Time) peersStub {
		all := peersStub{}
		for _, h := range r.hosts.Read().All() {
			all[h.Name] = reachability.Reachability{ReachableSince: answeredAt, LastAnswer: answeredAt, CoordinatorRevision: r.revision}.WithReportedAt(r.now)
		}
		return all
	}
	r.tenure.leaseEnd = r.now
	r.peers = reports(r.now.Add(-10 * time.Second))
	r.checkStoreReachability(r.now)
	foundAt := r.now
	r.now = r.now.Add(2 * time.Second)
	r.services["s"] = &shardedService{isLoaded: true, state: ownership.New(electorateTiming, keymap.New(), 7, r.now)}
	r.peers = reports(r.now)
	r.checkStoreReachability(r.now)
	lastGrantsEnd := foundAt.Add(electorateTiming.UnreachableTTL + electorateTiming.CallTimeout + electorateTiming.LongestHold())
	if until := r.services["s"].state.InheritedUntil(); until.Before(lastGrantsEnd) || !r.services["s"].isStoreReachableSinceKnown {
		t.Errorf("earlier grants count for %v after the store was found unreachable, want %v at least", until.Sub(foundAt), lastGrantsEnd.Sub(foundAt))
	}
}

// A write whose answer was lost may have taken effect although another value has replaced it since. The successor then counts on
// its hosts, not on those of the write before.
func TestHostsWhoseLostWriteASuccessorMayHaveReadStillCount(t *testing.T) {
	r := newElectorateRun(t, storeWith(t, []string{"x", "y"}), 7)
	r.elect()
	r.update(0)
	r.apply()
	r.setHosts("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k")
	r.store.lostAnswers = 1
	r.update(electorateInterval)
	for hasLostAnswer := false; !hasLostAnswer; time.Sleep(time.Millisecond) {
		r.store.mu.Lock()
		hasLostAnswer = r.store.lostAnswers == 0
		r.store.mu.Unlock()
	}
	successor := storeWith(t, []string{"g", "h", "i", "j", "k"}, r.stored(t)...).records[registry.ElectorateKey].Value
	r.store.put(registry.CoordinatorKey, []byte(`{"Name":"g","Mark":"y"}`))
	r.store.put(registry.ElectorateKey, successor)
	r.apply()
	reports := peersStub{}
	for _, name := range []string{"a", "b", "c", "d"} {
		reports[name] = reachability.Reachability{ReachableSince: r.now.Add(-time.Minute), LastAnswer: r.now.Add(-10 * time.Second), CoordinatorRevision: r.revision}.WithReportedAt(r.now)
	}
	if r.tenure.electorate.IsStoreUnreachable(reports) {
		t.Error("the store counts as unreachable by 4 of 6 hosts, but the successor counts on a set of 11")
	}
}

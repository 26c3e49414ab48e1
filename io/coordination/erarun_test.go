package coordination

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"testing"
	"time"

	"redwingsill/core/backendservice"
	"redwingsill/core/command"
	"redwingsill/core/directory"
	"redwingsill/core/era"
	"redwingsill/core/keymap"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/record"
	"redwingsill/core/roster"
	"redwingsill/core/routing"
	"redwingsill/io/registry"
	"redwingsill/io/slotserver"
	"redwingsill/io/task"
)

// eraRun is one host's coordination over a store in memory that may return to a copy. The calls of a step end before the next one.
type eraRun struct {
	*harness
	store  *storeStub
	hosts  *rcu.Value[directory.Directory]
	copied map[string]record.Record
	// copiedAt is the revision of the copy. grants are those sent since the last look.
	copiedAt int64
	grants   []command.Grant
	reports  map[string]reachability.Reachability
}

func newEraRun(t *testing.T) *eraRun {
	run := &eraRun{harness: &harness{clock: rcu.New(testStart)}, store: newStoreStub(), reports: map[string]reachability.Reachability{}}
	log, now := slog.New(slog.DiscardHandler), run.clock.Load
	run.hosts = rcu.New(directory.Directory{}.With("edge-1", netip.MustParseAddrPort("127.0.0.1:1"), "a", 1))
	routes := rcu.New(routing.Routing{Version: 1, Services: map[string]backendservice.BackendService{"s": {IsSharded: true}}})
	run.Coordination = New("edge-1", "1", testTiming, run.store, run, registry.New(run.hosts, func() {}, log), run.hosts,
		rcu.New(roster.New().With(testServer)), routes, slotserver.New(now), run, run, now, log, make(chan struct{}, 1))
	run.group, _ = task.New(t.Context())
	run.registry.Apply(nil, 1, true)
	return run
}

// Grant implements Servers. Calls run in other goroutines, one after the other for one server.
func (r *eraRun) Grant(_ context.Context, g command.Grant) command.Answer {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.grants = append(r.grants, g)
	return command.Answer{Result: command.Done}
}

// Reachabilities implements Peers.
func (r *eraRun) Reachabilities() map[string]reachability.Reachability { return r.reports }

// run steps for a time, with the results of the calls, and returns the grants that were sent meanwhile.
func (r *eraRun) run(d time.Duration) []command.Grant {
	r.grants = nil
	for end := r.clock.Load().Add(d); r.clock.Load().Before(end); r.advance(50 * time.Millisecond) {
		r.step()
		for idle := time.After(3 * time.Millisecond); idle != nil; {
			select {
			case apply := <-r.results:
				apply()
				idle = time.After(3 * time.Millisecond)
			case <-idle:
				idle = nil
			}
		}
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.grants
}

// copyStore copies the store.
func (r *eraRun) copyStore() {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.copied, r.copiedAt = maps.Clone(r.store.records), r.store.revision
}

// watch passes the coordinator's key to the registry, as a watch does.
func (r *eraRun) watch() {
	key, _ := r.store.Get(context.Background(), registry.CoordinatorKey)
	if key.Revision > 0 {
		r.registry.Apply([]record.Record{key}, key.Revision, false)
	}
}

// stored returns the owners in the store, the reserved token and the era in which they were written.
func (r *eraRun) stored(t *testing.T) (keymap.Map, int64, era.Era) {
	t.Helper()
	value, _ := r.store.Get(context.Background(), registry.OwnersKey("s"))
	keys, fence, err := registry.DecodeOwners(value.Value)
	if err != nil {
		t.Fatal(err)
	}
	return keys, fence, registry.EraOf(value.Value)
}

// newServedRun returns a coordinator that has granted all keys to the server and has no inherited grants, and whose store was copied
// before it wrote that map.
func newServedRun(t *testing.T) *eraRun {
	r := newEraRun(t)
	r.copyStore()
	r.run(time.Second)
	r.watch()
	r.copied[registry.CoordinatorKey] = r.store.records[registry.CoordinatorKey]
	if len(r.run(4*time.Second)) == 0 {
		t.Fatal("no keys are granted before the return")
	}
	return r
}

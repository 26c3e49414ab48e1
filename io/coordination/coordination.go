// Package coordination elects one entry host as the coordinator, by a lease in the store, and executes the
// coordinator's decisions on the ownership of keys.
package coordination

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"redwingsill/core/directory"
	"redwingsill/core/era"
	"redwingsill/core/ownership"
	"redwingsill/core/rcu"
	"redwingsill/core/roster"
	"redwingsill/core/routing"
	"redwingsill/io/registry"
	"redwingsill/io/slotserver"
	"redwingsill/io/task"
)

// Coordination campaigns for the coordinator's lease on behalf of one host and, while it holds the lease, assigns keys
// to backend servers. Only the goroutine of Run uses its state; results and changes arrive over channels.
type Coordination struct {
	hostName      string
	writeIDPrefix string
	timing        ownership.Timing
	store         Store
	servers       Servers
	registry      *registry.Registry
	// directory has the entry hosts, and roster the backend servers.
	directory  *rcu.Value[directory.Directory]
	roster     *rcu.Value[roster.Roster]
	routing    *rcu.Value[routing.Routing]
	slotServer *slotserver.SlotServer
	peers      Peers
	metrics    Metrics
	now        func() time.Time
	log        *slog.Logger
	// group runs the calls to the store and to backend servers.
	group *task.Group
	// results carries, for each completed call, a function that applies its result to the state.
	results chan func()
	// changes receives a value when an input of the next step has changed.
	changes chan struct{}
	// isResigning is set by Resign: this host shuts down, so it revokes the lease and no longer campaigns.
	isResigning atomic.Bool

	// tenure is the state of this host's lease and of its campaign for it.
	tenure tenure
	// services has the sharded services whose ownership this host manages, and published the keys that the slot server
	// last received. Both are keyed by the name of the service.
	services  map[string]*shardedService
	published map[string]publishedKeys
	// reachabilityRequestedAt is when all hosts were last asked for their reachability records. isStoreUnreachable is set
	// while less than half of this host's lease remains and the records show that the store is unreachable for at least
	// two thirds of its electorate.
	reachabilityRequestedAt time.Time
	isStoreUnreachable      bool
	// storeUnreachableAt is when this host, in any tenure, last found the store unreachable, or the zero time.
	storeUnreachableAt time.Time
	// vacantSince is when this host first saw no coordinator, or campaignRetryDelay after its last campaign began. Its
	// campaign delay counts from then. It is zero while another host is the coordinator.
	vacantSince time.Time
	// unreadableRevision is the revision of the coordinator's key that last had an unreadable value, for which vacantSince counts anew.
	unreadableRevision int64
	// checkedAt is when this host last read the coordinator's key because the coordinator did not respond.
	checkedAt time.Time
	// era is the newest era of the store that this host has acted on, and eraHosts are the hosts that it knew when it did.
	era      era.Era
	eraHosts []string
	// writeCount is the number of write IDs given out. It makes each ID unique.
	writeCount int
}

// New returns the coordination of a host. The incarnation must differ at each start. A value in changes starts the next
// step early.
func New(name, incarnation string, timing ownership.Timing, s Store, servers Servers, r *registry.Registry,
	hosts *rcu.Value[directory.Directory], members *rcu.Value[roster.Roster], routes *rcu.Value[routing.Routing], slotServer *slotserver.SlotServer,
	peers Peers, metrics Metrics, now func() time.Time, log *slog.Logger, changes chan struct{}) *Coordination {
	return &Coordination{hostName: name, writeIDPrefix: name + "/" + incarnation, timing: timing, store: s, servers: servers,
		registry: r, directory: hosts, roster: members, routing: routes, slotServer: slotServer, peers: peers, metrics: metrics, now: now, log: log,
		results: make(chan func(), resultBuffer), changes: changes, services: map[string]*shardedService{},
		published: map[string]publishedKeys{}}
}

// Run campaigns and coordinates until the context ends, and then revokes the lease.
func (c *Coordination) Run(ctx context.Context) {
	group, wait := task.New(ctx)
	c.group = group
	timer := time.NewTimer(coordinatorStepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stop(wait)
			return
		case apply := <-c.results:
			apply()
		case <-c.changes:
		case <-timer.C:
		}
		began := c.now()
		c.applyPendingResults()
		c.step()
		timer.Reset(c.stepInterval())
		task.Sleep(ctx, max(minStepInterval, stepPauseRatio*c.now().Sub(began)))
	}
}

// applyPendingResults applies the results of all completed calls, so that one step handles many of them.
func (c *Coordination) applyPendingResults() {
	for {
		select {
		case apply := <-c.results:
			apply()
		default:
			return
		}
	}
}

// stepInterval returns the longest time until the next step, which is shorter while this host is the coordinator or
// still manages services.
func (c *Coordination) stepInterval() time.Duration {
	if c.tenure.isCoordinator || len(c.services) > 0 {
		return coordinatorStepInterval
	}
	return idleStepInterval
}

// Resign makes this host revoke its lease, so that the next coordinator need not wait until it expires. While it can't
// reach the store it retries, and keeps renewing its grants while the store is unreachable for two thirds of the hosts, unless
// Run ends or it learns of a newer coordinator before: a host that still reaches the store can be elected once the lease
// ends.
func (c *Coordination) Resign() {
	c.isResigning.Store(true)
	select {
	case c.changes <- struct{}{}:
	default: // a change is already pending
	}
}

// stop waits for the calls under way, discards their results, and revokes the lease if this host still holds it.
func (c *Coordination) stop(wait func()) {
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		wait()
	}()
	for done := false; !done; {
		select {
		case <-c.results:
		case <-idle:
			done = true
		}
	}
	if !c.tenure.isCoordinator {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := c.store.RevokeLease(ctx, c.tenure.leaseID); err != nil {
		c.log.Warn("lease not revoked; it expires by itself", "Error", err)
		return
	}
	c.log.Info("lease revoked")
}

// step updates the tenure and the ownership of all sharded services, and publishes the owners.
func (c *Coordination) step() {
	now := c.now()
	c.updateEra(now)
	c.updateTenure(now)
	c.loadNewServices(now)
	c.updateElectorate(now)
	c.checkStoreReachability(now)
	for name, service := range c.services {
		service.applyCompletions(now)
		c.stepService(name, service, now)
	}
	c.publish()
}

// nextWriteID returns an ID for one write, by which this host recognizes a write that took effect although its response
// was lost.
func (c *Coordination) nextWriteID() string {
	c.writeCount++
	return c.writeIDPrefix + "/" + strconv.Itoa(c.writeCount)
}

// startCall runs call in its own goroutine. The goroutine of Run then runs the function that call returns, which
// applies the result to the state.
func (c *Coordination) startCall(call func(ctx context.Context) func()) {
	c.group.Go(func(ctx context.Context) {
		apply := call(ctx)
		result := func() {
			c.updateEra(c.now()) // the answer may be the first of a new era
			apply()
		}
		select {
		case c.results <- result:
		case <-ctx.Done():
		}
	})
}

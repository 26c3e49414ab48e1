// Package entry runs an entry host: it passes events to the decision logic in core and executes the resulting effects.
package entry

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/gateway"
	"redwingsill/core/group"
	"redwingsill/core/leaseholder"
	"redwingsill/core/message"
	"redwingsill/core/rcu"
	"redwingsill/core/snapshot"
	"redwingsill/core/timing"
	"redwingsill/io/bodybudget"
	"redwingsill/io/clock"
	"redwingsill/io/identity"
	"redwingsill/io/metrics"
	"redwingsill/io/monitor"
	"redwingsill/io/peer"
	"redwingsill/io/platform"
	"redwingsill/io/task"
	"redwingsill/io/trace"
)

// Sizes, intervals and thresholds of an entry host.
const (
	inboxSize    = 1024 // inputs queued for the control loop
	tickInterval = 100 * time.Millisecond
	hotKeyRate   = 5                      // requests per second from which the rate of a key is reported
	cancelGrace  = 100 * time.Millisecond // how long to wait for an outcome after the deadline or a cancellation

	// reportTicks is the number of ticks between two reports of key rates and server load.
	reportTicks = 5
)

// Entry is an entry host. It is safe for concurrent use.
type Entry struct {
	identity identity.Identity
	timing   timing.Timing
	clock    clock.Clock
	platform *platform.Client
	monitor  *monitor.Client
	peers    *peer.Transport
	metrics  *metrics.Metrics
	tracer   *trace.Tracer
	log      *slog.Logger
	tasks    *task.Group

	inbox         chan input
	group         *rcu.Value[group.Group] // this host's state as a member, candidate and leader
	snapshot      *rcu.Value[snapshot.Snapshot]
	gateway       *rcu.Value[gateway.Gateway]     // the retry budget
	backends      *rcu.Value[map[string]*backend] // by server
	bodies        bodybudget.BodyBudget           // of the responses of all backend servers
	reportedLoads sync.Map                        // server -> *atomic.Uint64, the bits of a float64 in requests per slot
	waiters       sync.Map                        // ticket -> chan effect.CompleteRequest
	cancels       sync.Map                        // ticket -> context.CancelFunc
	tickets       atomic.Uint64                   // the last ticket; each attempt to route a request has its own
	inFlight      atomic.Int64                    // requests in progress, from callers and from other hosts
}

// New returns a host that is inactive until [Entry.Start] is called.
func New(id identity.Identity, t timing.Timing, c clock.Clock, p *platform.Client, m *monitor.Client, recorder *metrics.Metrics,
	tracer *trace.Tracer, log *slog.Logger) *Entry {
	return &Entry{
		identity: id, timing: t, clock: c, platform: p, monitor: m, metrics: recorder, tracer: tracer, log: log,
		inbox:    make(chan input, inboxSize),
		group:    rcu.New(group.New(id.Name, id.DataCentre, id.Incarnation, t, c.Now())),
		snapshot: rcu.New(snapshot.Snapshot{}),
		gateway:  rcu.New(gateway.New()),
		backends: rcu.New(map[string]*backend{}),
	}
}

// Start starts the goroutines of the host, which sends its messages through peers. The returned function stops the
// goroutines and closes the idle connections to the backend servers.
func (e *Entry) Start(ctx context.Context, peers *peer.Transport) func() {
	tasks, stop := task.New(ctx)
	e.peers, e.tasks = peers, tasks
	tasks.Go(e.runControlLoop)
	tasks.Go(e.runTicker)
	return func() {
		stop()
		for _, b := range e.backends.Load() {
			b.close()
		}
	}
}

// Snapshot returns the host's current routing snapshot.
func (e *Entry) Snapshot() *snapshot.Snapshot { return e.snapshot.Read() }

// Group returns the state of the host's roles in the group of entry hosts: member, candidate and leader.
func (e *Entry) Group() group.Group { return e.group.Load() }

// LeaseHolder returns the lease holder of a backend server on this host, and whether there is one.
func (e *Entry) LeaseHolder(server string) (leaseholder.LeaseHolder, bool) {
	b, ok := e.backends.Load()[server]
	if !ok {
		return leaseholder.LeaseHolder{}, false
	}
	return b.leaseHolder.Load(), true
}

// PeerAddress returns the address at which another entry host listens for its peers, or "" if it is unknown.
func (e *Entry) PeerAddress(name string) string { return e.Group().Hosts()[name].Address }

// Receive queues a message from another host for the control loop.
func (e *Entry) Receive(from string, m message.Message) {
	e.enqueue(input{event: event.MessageReceived{From: from, Message: m}})
}

// HandOver hands the leases of this host over to other hosts. It returns when no request is in flight and the leader
// knows that this host holds no leases, or when the context is cancelled.
func (e *Entry) HandOver(ctx context.Context) {
	e.enqueue(input{event: event.LeaveRequested{}})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if e.inFlight.Load() == 0 && e.Group().Member().IsDrained(e.clock.Now()) {
				return
			}
		}
	}
}

// enqueue passes an input to the control loop without blocking. If the inbox is full, a new goroutine waits to put the
// input in it, so that later inputs may overtake it.
func (e *Entry) enqueue(in input) {
	select {
	case e.inbox <- in:
	default:
		e.tasks.Go(func(ctx context.Context) {
			select {
			case e.inbox <- in:
			case <-ctx.Done():
			}
		})
	}
}

// runControlLoop handles the inputs in the order of the inbox. It runs in a single goroutine, the only one that changes
// the group state.
func (e *Entry) runControlLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-e.inbox:
			e.handleInput(in)
		}
	}
}

// handleInput applies an event, or starts a handover of dedup table entries, and executes the effects.
func (e *Entry) handleInput(in input) {
	before := e.group.Load()
	now := e.clock.Now()
	if in.handOver != nil {
		next, effects := before.WithHandover(*in.handOver, now)
		e.group.Store(next)
		e.perform(effects)
		return
	}
	next, effects := before.Step(in.event, now)
	e.group.Store(next)
	e.recordChanges(before, next)
	e.perform(effects)
}

// runTicker sends a tick to the group and to the lease holders every tickInterval. At longer intervals it reports the
// rates of hot keys to the group and updates metrics.
func (e *Entry) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.enqueue(input{event: event.Ticked{}})
			for server, b := range e.backends.Load() {
				e.stepLeaseHolder(server, event.Ticked{Server: server})
				if tick%reportTicks == 0 {
					holder := b.leaseHolder.Load()
					e.enqueue(input{event: event.RequestRatesMeasured{Server: server, RequestRates: holder.HotKeyRates(hotKeyRate, e.clock.Now())}})
					load := holder.Load()
					e.metrics.SetServerWork(server, load.Waiting, load.Running)
				}
			}
			if tick%int(stateMetricsInterval/tickInterval) == 0 {
				e.updateStateMetrics()
			}
		}
	}
}

// recordChanges logs and counts the differences between the group states before and after a step. In logs and metrics
// the leader is named arbiter, and a lease that this host holds is named permit.
func (e *Entry) recordChanges(before, after group.Group) {
	_, wasLeader := before.Leader()
	leader, isLeader := after.Leader()
	if wasLeader != isLeader {
		e.log.Info("leadership changed", "IsArbiter", isLeader, "Term", after.Member().Term())
	}
	if previous, next := before.Member(), after.Member(); previous.Term() != next.Term() {
		e.log.Info("following", "Term", next.Term(), "Arbiter", next.Leader())
	}
	if previous, next := before.Member().Configuration(), after.Member().Configuration(); previous.Revision != next.Revision {
		e.log.Info("configuration in force", "Revision", next.Revision)
		e.metrics.SetHostState("configuration_revision", float64(next.Revision))
	}
	if previous, next := before.Member().Assignment(), after.Member().Assignment(); previous.Version != next.Version {
		moves := previous.MovedUnits(next)
		e.log.Info("assignment in force", "Term", next.Term, "Version", next.Version, "Moves", len(moves))
		for unit := range moves {
			e.metrics.CountOwnershipMoves(unit.Service, 1)
		}
	}
	leaderTerm := 0.0
	if isLeader {
		leaderTerm = float64(leader.Term())
	}
	e.metrics.SetHostState("arbiter_term", leaderTerm)
	e.metrics.SetHostState("term", float64(after.Member().Term()))
	e.metrics.SetHostState("permits", float64(len(after.Member().Leases(e.clock.Now()))))
}

// withBackend returns a copy of the backends with one added.
func withBackend(backends map[string]*backend, server string, b *backend) map[string]*backend {
	next := maps.Clone(backends)
	next[server] = b
	return next
}

// Package entry runs the decisions of one entry host: it feeds them events and carries out their effects.
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
	"redwingsill/io/clock"
	"redwingsill/io/identity"
	"redwingsill/io/metrics"
	"redwingsill/io/monitor"
	"redwingsill/io/peer"
	"redwingsill/io/platform"
	"redwingsill/io/task"
	"redwingsill/io/trace"
)

// The sizes and times of the control goroutine.
const (
	inboxSize    = 1024
	tickInterval = 100 * time.Millisecond
	hotKeyRate   = 5 // requests per second from which a key is reported
	cancelGrace  = 100 * time.Millisecond
)

// Entry is a running entry host. Its methods may be called at the same time.
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
	group         *rcu.Value[group.Group]
	snapshot      *rcu.Value[snapshot.Snapshot]
	gateway       *rcu.Value[gateway.Gateway]
	backends      *rcu.Value[map[string]*backend]
	reportedLoads sync.Map // server name -> *atomic.Uint64, the bits of a float64
	waiters       sync.Map // ticket -> chan effect.Tell
	cancels       sync.Map // ticket -> context.CancelFunc
	tickets       atomic.Uint64
	inFlight      atomic.Int64
}

// New returns a host that does nothing until [Entry.Start].
func New(who identity.Identity, t timing.Timing, c clock.Clock, p *platform.Client, m *monitor.Client, figures *metrics.Metrics,
	tracer *trace.Tracer, log *slog.Logger) *Entry {
	return &Entry{
		identity: who, timing: t, clock: c, platform: p, monitor: m, metrics: figures, tracer: tracer, log: log,
		inbox:    make(chan input, inboxSize),
		group:    rcu.New(group.New(who.Name, who.DataCentre, who.Incarnation, t, c.Now())),
		snapshot: rcu.New(snapshot.Snapshot{}),
		gateway:  rcu.New(gateway.New()),
		backends: rcu.New(map[string]*backend{}),
	}
}

// Start connects the host to its peers and starts its goroutines. The clean-up stops them.
func (e *Entry) Start(ctx context.Context, peers *peer.Transport) func() {
	tasks, wait := task.New(ctx)
	e.peers, e.tasks = peers, tasks
	tasks.Go(e.runControlLoop)
	tasks.Go(e.runTicker)
	return func() {
		wait()
		for _, p := range e.backends.Load() {
			p.close()
		}
	}
}

// Snapshot returns what the host routes by.
func (e *Entry) Snapshot() *snapshot.Snapshot { return e.snapshot.Read() }

// Cell returns the host's part in its cell.
func (e *Entry) Group() group.Group { return e.group.Load() }

// Steward returns the steward of a backend server, and whether this host has one.
func (e *Entry) LeaseHolder(server string) (leaseholder.LeaseHolder, bool) {
	p, ok := e.backends.Load()[server]
	if !ok {
		return leaseholder.LeaseHolder{}, false
	}
	return p.leaseHolder.Load(), true
}

// AddressOf returns where another entry host listens for its peers, or "".
func (e *Entry) PeerAddress(name string) string { return e.Group().Hosts()[name].Address }

// Receive takes a message from another host.
func (e *Entry) Receive(from string, m message.Message) {
	e.enqueue(input{event: event.Received{From: from, Message: m}})
}

// Leave makes the host hand over what it holds, and returns when the arbiter knows that it holds nothing and no request is
// in flight, or the context ends.
func (e *Entry) HandOver(ctx context.Context) {
	e.enqueue(input{event: event.LeaveAsked{}})
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

// post gives an input to the control goroutine. It never waits: a full inbox is served by a goroutine of its own.
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

// control is the one goroutine that steps the host's part in its cell.
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

// tick passes time to the host's part in its cell and to the stewards.
func (e *Entry) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.enqueue(input{event: event.Ticked{}})
			for server, p := range e.backends.Load() {
				e.stepLeaseHolder(server, event.Ticked{Server: server})
				if n%5 == 0 {
					s := p.leaseHolder.Load()
					e.enqueue(input{event: event.Heated{Server: server, Heats: s.Heats(hotKeyRate, e.clock.Now())}})
					l := s.Load()
					e.metrics.SetServerWork(server, l.Waiting, l.Running)
				}
			}
			if n%int(stateMetricsInterval/tickInterval) == 0 {
				e.updateStateMetrics()
			}
		}
	}
}

// note logs and counts what a step changed.
func (e *Entry) recordChanges(before, after group.Group) {
	_, was := before.Leader()
	a, is := after.Leader()
	if was != is {
		e.log.Info("arbiter changed", "IsArbiter", is, "Term", after.Member().Term())
	}
	if b, m := before.Member(), after.Member(); b.Term() != m.Term() {
		e.log.Info("following", "Term", m.Term(), "Arbiter", m.Leader())
	}
	if b, m := before.Member().Configuration(), after.Member().Configuration(); b.Revision != m.Revision {
		e.log.Info("configuration in force", "Revision", m.Revision)
		e.metrics.SetHostState("configuration_revision", float64(m.Revision))
	}
	if b, m := before.Member().Assignment(), after.Member().Assignment(); b.Version != m.Version {
		moves := b.Moves(m)
		e.log.Info("assignment in force", "Term", m.Term, "Version", m.Version, "Moves", len(moves))
		for u := range moves {
			e.metrics.CountOwnershipMoves(u.Service, 1)
		}
	}
	isArbiter := 0.0
	if is {
		isArbiter = float64(a.Term())
	}
	e.metrics.SetHostState("arbiter_term", isArbiter)
	e.metrics.SetHostState("term", float64(after.Member().Term()))
	e.metrics.SetHostState("permits", float64(len(after.Member().Leases(e.clock.Now()))))
}

// withPost returns the posts with one more.
func withBackend(m map[string]*backend, server string, p *backend) map[string]*backend {
	next := maps.Clone(m)
	next[server] = p
	return next
}

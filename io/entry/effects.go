package entry

import (
	"context"
	"errors"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/host"
	"redwingsill/core/kind"
	"redwingsill/core/leaseholder"
	"redwingsill/core/outcome"
	"redwingsill/core/rcu"
	"redwingsill/core/snapshot"
	"redwingsill/io/backendserver"
	"redwingsill/io/platform"
)

// perform carries effects out. It never waits.
func (e *Entry) perform(effects []effect.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case effect.Send:
			e.peers.Send(f.To, f.Message)
		case effect.ReadKey:
			e.tasks.Go(func(ctx context.Context) { e.readKey(ctx, f) })
		case effect.WriteKey:
			e.tasks.Go(func(ctx context.Context) { e.writeKey(ctx, f) })
		case effect.ListHosts:
			e.tasks.Go(e.listHosts)
		case effect.HearVerdicts:
			e.tasks.Go(e.readVerdicts)
		case effect.Publish:
			e.publish(f.Snapshot)
		case effect.Instruct:
			e.notifyLeaseHolder(f.Event)
		case effect.Inform:
			e.enqueue(input{event: f.Event})
		case effect.HandOver:
			e.enqueue(input{handOver: &f})
		case effect.Run:
			e.tasks.Go(func(ctx context.Context) { e.run(ctx, f) })
		case effect.Abort:
			if cancel, ok := e.cancels.Load(f.Ticket); ok {
				cancel.(context.CancelFunc)()
			}
		case effect.Tell:
			if waiter, ok := e.waiters.LoadAndDelete(f.Ticket); ok {
				waiter.(chan effect.Tell) <- f
			}
		}
	}
}

func (e *Entry) readKey(ctx context.Context, f effect.ReadKey) {
	if f.After >= 0 {
		e.metrics.AddPlatformWatches(1)
		defer e.metrics.AddPlatformWatches(-1)
	}
	value, revision, err := e.platform.Read(ctx, f.Key, f.After)
	e.metrics.CountPlatformCall("read", resultLabel(err))
	if err != nil {
		e.enqueue(input{event: event.PlatformFailed{ID: f.ID}})
		return
	}
	e.enqueue(input{event: event.KeyRead{ID: f.ID, Value: value, Revision: revision}})
}

func (e *Entry) writeKey(ctx context.Context, f effect.WriteKey) {
	revision, err := e.platform.Write(ctx, f.Key, f.Value, f.Revision, f.TTL)
	e.metrics.CountPlatformCall("write", resultLabel(err))
	var failure *platform.Error
	switch {
	case err == nil:
		e.enqueue(input{event: event.KeyWritten{ID: f.ID, Revision: revision}})
	case errors.As(err, &failure) && failure.Kind == kind.Conflict:
		e.enqueue(input{event: event.KeyConflicted{ID: f.ID}})
	default:
		e.log.Warn("platform write failed", "Key", f.Key, "Error", err.Error())
		e.enqueue(input{event: event.PlatformFailed{ID: f.ID}})
	}
}

func (e *Entry) listHosts(ctx context.Context) {
	hosts, err := e.platform.ListHosts(ctx)
	e.metrics.CountPlatformCall("hosts", resultLabel(err))
	if err == nil {
		e.enqueue(input{event: event.HostsListed{Hosts: hosts}})
	}
}

func (e *Entry) readVerdicts(ctx context.Context) {
	down, err := e.monitor.DownServers(ctx)
	if err != nil {
		e.log.Debug("no verdicts", "Error", err.Error())
		return
	}
	e.enqueue(input{event: event.VerdictsHeard{Down: down}})
}

// publish gives readers a new snapshot and tells the stewards.
func (e *Entry) publish(s snapshot.Snapshot) {
	e.snapshot.Store(s)
	ready := 0.0
	if s.IsReady {
		ready = 1
	}
	e.metrics.SetHostState("is_ready", ready)
	for server := range e.backends.Load() {
		e.stepLeaseHolder(server, event.Assigned{Server: server, Assignment: s.Assignment, Configuration: s.Configuration})
	}
}

// instruct gives an event to a steward, which is made where there is none. Only the control goroutine calls it.
func (e *Entry) notifyLeaseHolder(ev event.ServerEvent) {
	server := ev.ServerName()
	s := e.snapshot.Read()
	p, ok := e.backends.Load()[server]
	if !ok {
		made, ok := host.NewLeaseHolder(*s, server, e.timing)
		if !ok {
			return
		}
		p = &backend{leaseHolder: rcu.New(made), close: func() {}}
		e.backends.Store(withBackend(e.backends.Load(), server, p))
		e.stepLeaseHolder(server, event.Assigned{Server: server, Assignment: s.Assignment, Configuration: s.Configuration})
	}
	if declared := s.Configuration.BackendServers[server]; declared.Address != p.address {
		client, closeClient := backendserver.New(declared.Address, declared.Slots, e.clock.Now)
		p.close()
		p.address, p.close = declared.Address, closeClient
		p.client.Store(client)
	}
	e.stepLeaseHolder(server, ev)
}

// step gives an event to a steward and carries out what it asks.
func (e *Entry) stepLeaseHolder(server string, ev event.Event) {
	p, ok := e.backends.Load()[server]
	if !ok {
		if s, isRequest := ev.(event.Submitted); isRequest {
			e.perform([]effect.Effect{effect.Tell{Ticket: s.Ticket,
				Outcome: outcome.NotRun{Reason: "this host is not the steward of " + server, Moved: true}}})
		}
		return
	}
	var effects []effect.Effect
	p.leaseHolder.Update(func(s leaseholder.LeaseHolder) leaseholder.LeaseHolder {
		s, effects = s.Step(ev, e.clock.Now())
		return s
	})
	e.perform(effects)
}

// run sends an order to a backend server and tells the steward how it ended.
func (e *Entry) run(ctx context.Context, f effect.Run) {
	p := e.backends.Load()[f.Server]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.cancels.Store(f.Ticket, cancel)
	defer e.cancels.Delete(f.Ticket)
	attributes, end := e.tracer.StartHop(ctx, "backend server", f.Request.Attributes)
	f.Request.Attributes = attributes
	o, shed := p.client.Load().Run(ctx, f)
	end(outcome.Name(o))
	e.metrics.CountAttempt(f.Server, o)
	e.stepLeaseHolder(f.Server, event.Finished{Server: f.Server, Ticket: f.Ticket, Outcome: o, Shed: shed})
}

func resultLabel(err error) string {
	var failure *platform.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &failure):
		return string(failure.Kind)
	}
	return "failed"
}

// timeUntil returns the time left until a deadline of this host's clock.
func (e *Entry) timeUntil(deadline time.Time) time.Duration { return deadline.Sub(e.clock.Now()) }

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

// perform executes effects without blocking.
func (e *Entry) perform(effects []effect.Effect) {
	for _, pending := range effects {
		switch f := pending.(type) {
		case effect.Send:
			e.peers.Send(f.To, f.Message)
		case effect.ReadKey:
			e.tasks.Go(func(ctx context.Context) { e.readKey(ctx, f) })
		case effect.WriteKey:
			e.tasks.Go(func(ctx context.Context) { e.writeKey(ctx, f) })
		case effect.ListHosts:
			e.tasks.Go(e.listHosts)
		case effect.ReadVerdicts:
			e.tasks.Go(e.readVerdicts)
		case effect.Publish:
			e.publish(f.Snapshot)
		case effect.NotifyLeaseHolder:
			e.notifyLeaseHolder(f.Event)
		case effect.NotifyMember:
			e.enqueue(input{event: f.Event})
		case effect.HandOver:
			e.enqueue(input{handOver: &f})
		case effect.Run:
			e.tasks.Go(func(ctx context.Context) { e.run(ctx, f) })
		case effect.Abort:
			if cancel, ok := e.cancels.Load(f.Ticket); ok {
				cancel.(context.CancelFunc)()
			}
		case effect.CompleteRequest:
			if waiter, ok := e.waiters.LoadAndDelete(f.Ticket); ok {
				waiter.(chan effect.CompleteRequest) <- f
			}
		}
	}
}

// readKey reads or watches a key of the platform and reports the result to the control loop.
func (e *Entry) readKey(ctx context.Context, f effect.ReadKey) {
	if f.AfterRevision >= 0 {
		e.metrics.AddPlatformWatches(1)
		defer e.metrics.AddPlatformWatches(-1)
	}
	value, revision, err := e.platform.Read(ctx, f.Key, f.AfterRevision)
	e.metrics.CountPlatformCall("read", resultLabel(err))
	if err != nil {
		e.enqueue(input{event: event.PlatformFailed{ID: f.ID}})
		return
	}
	e.enqueue(input{event: event.KeyRead{ID: f.ID, Value: value, Revision: revision}})
}

// writeKey writes a key of the platform and reports the result to the control loop.
func (e *Entry) writeKey(ctx context.Context, f effect.WriteKey) {
	revision, err := e.platform.Write(ctx, f.Key, f.Value, f.ExpectedRevision, f.TTL)
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

// listHosts reads the platform's list of entry hosts and backend servers. A failure is only counted, since the list is
// read again later.
func (e *Entry) listHosts(ctx context.Context) {
	hosts, err := e.platform.ListHosts(ctx)
	e.metrics.CountPlatformCall("hosts", resultLabel(err))
	if err == nil {
		e.enqueue(input{event: event.HostsListed{Hosts: hosts}})
	}
}

// readVerdicts reads which backend servers the monitoring system declares down. A failure is only logged, since the
// verdicts are read again later.
func (e *Entry) readVerdicts(ctx context.Context) {
	down, err := e.monitor.DownServers(ctx)
	if err != nil {
		e.log.Debug("reading verdicts failed", "Error", err.Error())
		return
	}
	e.enqueue(input{event: event.VerdictsReceived{Down: down}})
}

// publish replaces the routing snapshot and passes its assignment and configuration to the lease holders.
func (e *Entry) publish(s snapshot.Snapshot) {
	e.snapshot.Store(s)
	ready := 0.0
	if s.IsReady {
		ready = 1
	}
	e.metrics.SetHostState("is_ready", ready)
	for server := range e.backends.Load() {
		e.stepLeaseHolder(server, event.AssignmentChanged{Server: server, Assignment: s.Assignment, Configuration: s.Configuration})
	}
}

// notifyLeaseHolder passes an event to the lease holder of a backend server. It creates the lease holder if there is
// none, unless the configuration does not declare the server, and replaces the client if the address of the server
// changed. It may be called only in the control loop.
func (e *Entry) notifyLeaseHolder(ev event.ServerEvent) {
	server := ev.ServerName()
	s := e.snapshot.Read()
	b, ok := e.backends.Load()[server]
	if !ok {
		holder, ok := host.NewLeaseHolder(*s, server, e.timing)
		if !ok {
			return
		}
		b = &backend{leaseHolder: rcu.New(holder), close: func() {}}
		e.backends.Store(withBackend(e.backends.Load(), server, b))
		e.stepLeaseHolder(server, event.AssignmentChanged{Server: server, Assignment: s.Assignment, Configuration: s.Configuration})
	}
	if declared := s.Configuration.BackendServers[server]; declared.Address != b.address {
		client, closeClient := backendserver.New(declared.Address, declared.Slots, &e.bodies, e.clock.Now)
		b.close()
		b.address, b.close = declared.Address, closeClient
		b.client.Store(client)
	}
	e.stepLeaseHolder(server, ev)
}

// stepLeaseHolder passes an event to the lease holder of a backend server and executes the resulting effects. If this
// host has none, a submitted request is answered with NotRun and other events are ignored.
func (e *Entry) stepLeaseHolder(server string, ev event.Event) {
	b, ok := e.backends.Load()[server]
	if !ok {
		if submitted, isRequest := ev.(event.Submitted); isRequest {
			// The text is sent to callers, so it keeps the older term steward for the lease holder.
			e.perform([]effect.Effect{effect.CompleteRequest{Ticket: submitted.Ticket,
				Outcome: outcome.NotRun{Reason: "this host is not the steward of " + server, Moved: true}}})
		}
		return
	}
	var effects []effect.Effect
	b.leaseHolder.Update(func(holder leaseholder.LeaseHolder) leaseholder.LeaseHolder {
		holder, effects = holder.Step(ev, e.clock.Now())
		return holder
	})
	e.perform(effects)
}

// run sends a request to a backend server and reports the outcome to the lease holder.
func (e *Entry) run(ctx context.Context, f effect.Run) {
	b := e.backends.Load()[f.Server]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.cancels.Store(f.Ticket, cancel)
	defer e.cancels.Delete(f.Ticket)
	attributes, endHop := e.tracer.StartHop(ctx, "backend server", f.Request.Attributes)
	f.Request.Attributes = attributes
	o, shed := b.client.Load().Run(ctx, f)
	endHop(outcome.Name(o))
	e.metrics.CountAttempt(f.Server, o)
	e.stepLeaseHolder(f.Server, event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: o, Shed: shed})
}

// resultLabel returns the metric label for the result of a platform call.
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

// timeUntil returns the time left until a deadline by the clock of this host.
func (e *Entry) timeUntil(deadline time.Time) time.Duration { return deadline.Sub(e.clock.Now()) }

package entry

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/gateway"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/route"
	"redwingsill/io/task"
)

// Now returns the time by the host's clock.
func (e *Entry) Now() time.Time { return e.clock.Now() }

// Serve returns the outcome of a caller's request. Attempts that did not run because the owner had moved are tried
// again until the deadline.
func (e *Entry) Serve(ctx context.Context, r request.Request) outcome.Outcome {
	began := e.clock.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	attributes, end := e.tracer.StartHop(ctx, "caller", r.Attributes)
	r.Attributes = attributes
	e.gateway.Update(gateway.Gateway.WithRequest)
	var told message.Forwarded
	for tries := 1; ; tries++ {
		told = e.routeRequest(ctx, message.Forward{Request: r})
		wait, again := e.decideRetry(told.Outcome, tries, r.Deadline)
		if !again || !task.Sleep(ctx, wait) {
			break
		}
	}
	end(outcome.Name(told.Outcome))
	e.metrics.ObserveRequest(r.Service, r.Rank, told.Outcome, e.clock.Now().Sub(began))
	return told.Outcome
}

// Ask takes a request that another host sends on.
func (e *Entry) ServeForwarded(ctx context.Context, _ string, ask message.Forward) message.Forwarded {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	attributes, end := e.tracer.StartHop(ctx, "steward", ask.Request.Attributes)
	ask.Request.Attributes = attributes
	ask.Request = ask.Request.WithDeadline(e.clock.Now().Add(ask.Request.Patience))
	told := e.routeRequest(ctx, ask)
	end(outcome.Name(told.Outcome))
	return told
}

// send makes one try at a request.
func (e *Entry) routeRequest(ctx context.Context, ask message.Forward) message.Forwarded {
	ticket := e.tickets.Add(1)
	s := e.snapshot.Read()
	seed := ticket * 0x9e3779b97f4a7c15
	switch to := route.Choose(s, ask.Request, ask.Server, ask.Hops, e.reportedLoad, e.peers.IsUnreachable, seed).(type) {
	case route.Local:
		return e.submitLocally(ctx, to.Server, ticket, ask.Request)
	case route.Peer:
		next := message.Forward{Ticket: ticket, Request: ask.Request.WithPatience(e.clock.Now()), Server: to.Server, Hops: ask.Hops + 1}
		limited, cancel := context.WithTimeout(ctx, next.Request.Patience+cancelGrace)
		defer cancel()
		told := e.peers.Forward(limited, to.Host, next)
		e.recordLoad(told)
		return told
	case route.Nowhere:
		return message.Forwarded{Outcome: outcome.NotRun{Reason: to.Reason, RetryAfter: e.timing.HeartbeatInterval, Moved: true}}
	}
	return message.Forwarded{Outcome: outcome.NotRun{Reason: "no route"}}
}

// sendLocal gives a request to a steward of this host and waits for the outcome.
func (e *Entry) submitLocally(ctx context.Context, server string, ticket uint64, r request.Request) message.Forwarded {
	waiter := make(chan effect.Tell, 1)
	e.waiters.Store(ticket, waiter)
	defer e.waiters.Delete(ticket)
	ctx, cancel := context.WithTimeout(ctx, e.timeUntil(r.Deadline))
	defer cancel()
	e.stepLeaseHolder(server, event.Submitted{Server: server, Ticket: ticket, Request: r})
	select {
	case t := <-waiter:
		return e.newForwarded(t)
	case <-ctx.Done():
	}
	e.stepLeaseHolder(server, event.Cancelled{Server: server, Ticket: ticket, Late: errors.Is(ctx.Err(), context.DeadlineExceeded)})
	timer := time.NewTimer(cancelGrace)
	defer timer.Stop()
	select {
	case t := <-waiter:
		return e.newForwarded(t)
	case <-timer.C:
		return message.Forwarded{Outcome: outcome.Unknown{Reason: "no answer in time"}}
	}
}

func (e *Entry) newForwarded(t effect.Tell) message.Forwarded {
	told := message.Forwarded{Ticket: t.Ticket, Outcome: t.Outcome, Load: t.Load, Steward: e.identity.Name}
	e.recordLoad(told)
	return told
}

func (e *Entry) decideRetry(o outcome.Outcome, tries int, deadline time.Time) (wait time.Duration, decideRetry bool) {
	e.gateway.Update(func(g gateway.Gateway) gateway.Gateway {
		g, wait, decideRetry = g.Again(o, tries, deadline, e.clock.Now())
		return g
	})
	return wait, decideRetry
}

func (e *Entry) reportedLoad(server string) float64 {
	if bits, ok := e.reportedLoads.Load(server); ok {
		return math.Float64frombits(bits.(*atomic.Uint64).Load())
	}
	return 0
}

func (e *Entry) recordLoad(told message.Forwarded) {
	if told.Load.Server == "" {
		return
	}
	bits, _ := e.reportedLoads.LoadOrStore(told.Load.Server, &atomic.Uint64{})
	bits.(*atomic.Uint64).Store(math.Float64bits(told.Load.Score()))
}

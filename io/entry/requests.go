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

// ticketHashMultiplier is 2^64 divided by the golden ratio. Tickets number the attempts of this host to route a
// request; multiplied by it, consecutive tickets become seeds that spread evenly over the servers and hosts that a
// route is chosen from.
const ticketHashMultiplier = 0x9e3779b97f4a7c15

// Now returns the current time of the host's clock.
func (e *Entry) Now() time.Time { return e.clock.Now() }

// Serve executes a caller's request and returns its outcome. An attempt that did not run because only its route failed,
// for example since the key or the lease had moved, is retried within the limits of [gateway.Gateway.DecideRetry].
func (e *Entry) Serve(ctx context.Context, r request.Request) outcome.Outcome {
	startedAt := e.clock.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	attributes, endHop := e.tracer.StartHop(ctx, "caller", r.Attributes)
	r.Attributes = attributes
	e.gateway.Update(gateway.Gateway.WithRequest) // adds to the retry budget
	var response message.Forwarded
	for attempts := 1; ; attempts++ {
		response = e.routeRequest(ctx, message.Forward{Request: r})
		delay, shouldRetry := e.decideRetry(response.Outcome, attempts, r.Deadline)
		if !shouldRetry || !task.Sleep(ctx, delay) {
			break
		}
	}
	endHop(outcome.Name(response.Outcome))
	e.metrics.ObserveRequest(r.Service, r.Rank, response.Outcome, e.clock.Now().Sub(startedAt))
	return response.Outcome
}

// ServeForwarded executes a request that another host forwarded and returns the response. In traces the hop is named
// steward, the older term for lease holder, even if this host forwards the request again.
func (e *Entry) ServeForwarded(ctx context.Context, _ string, forward message.Forward) message.Forwarded {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	attributes, endHop := e.tracer.StartHop(ctx, "steward", forward.Request.Attributes)
	forward.Request.Attributes = attributes
	forward.Request = forward.Request.WithDeadline(e.clock.Now().Add(forward.Request.TimeLeft))
	response := e.routeRequest(ctx, forward)
	endHop(outcome.Name(response.Outcome))
	return response
}

// routeRequest makes one attempt to execute a request: it submits the request to a lease holder on this host or
// forwards it to another host.
func (e *Entry) routeRequest(ctx context.Context, forward message.Forward) message.Forwarded {
	ticket := e.tickets.Add(1)
	s := e.snapshot.Read()
	seed := ticket * ticketHashMultiplier
	switch chosen := route.Choose(s, forward.Request, forward.Server, forward.Hops, e.reportedLoad, e.peers.IsUnreachable, seed).(type) {
	case route.Local:
		return e.submitLocally(ctx, chosen.Server, ticket, forward.Request)
	case route.Peer:
		next := message.Forward{Ticket: ticket, Request: forward.Request.WithTimeLeft(e.clock.Now()), Server: chosen.Server, Hops: forward.Hops + 1}
		peerCtx, cancel := context.WithTimeout(ctx, next.Request.TimeLeft+cancelGrace)
		defer cancel()
		response := e.peers.Forward(peerCtx, chosen.Host, next)
		e.recordLoad(response)
		return response
	case route.Unroutable:
		return message.Forwarded{Outcome: outcome.NotRun{Reason: chosen.Reason, RetryAfter: e.timing.HeartbeatInterval, Moved: true}}
	}
	return message.Forwarded{Outcome: outcome.NotRun{Reason: "no route"}}
}

// submitLocally submits a request to a lease holder of this host and waits for the outcome. At the deadline, or if ctx
// is cancelled, it cancels the request and waits at most cancelGrace for its outcome, which is Unknown after that.
func (e *Entry) submitLocally(ctx context.Context, server string, ticket uint64, r request.Request) message.Forwarded {
	waiter := make(chan effect.CompleteRequest, 1)
	e.waiters.Store(ticket, waiter)
	defer e.waiters.Delete(ticket)
	ctx, cancel := context.WithTimeout(ctx, e.timeUntil(r.Deadline))
	defer cancel()
	e.stepLeaseHolder(server, event.Submitted{Server: server, Ticket: ticket, Request: r})
	select {
	case completed := <-waiter:
		return e.recordLocalResponse(completed)
	case <-ctx.Done():
	}
	e.stepLeaseHolder(server, event.Cancelled{Server: server, Ticket: ticket, DeadlinePassed: errors.Is(ctx.Err(), context.DeadlineExceeded)})
	timer := time.NewTimer(cancelGrace)
	defer timer.Stop()
	select {
	case completed := <-waiter:
		return e.recordLocalResponse(completed)
	case <-timer.C:
		return message.Forwarded{Outcome: outcome.Unknown{Reason: "no answer in time"}}
	}
}

// recordLocalResponse records the load of the backend server from the outcome of a local request, and returns the
// response.
func (e *Entry) recordLocalResponse(completed effect.CompleteRequest) message.Forwarded {
	response := message.Forwarded{Ticket: completed.Ticket, Outcome: completed.Outcome, Load: completed.Load, LeaseHolder: e.identity.Name}
	e.recordLoad(response)
	return response
}

// decideRetry reports whether a request is attempted again after an outcome, and after which delay. A retry draws on
// the retry budget of this host; an empty budget lengthens the delay.
func (e *Entry) decideRetry(o outcome.Outcome, attempts int, deadline time.Time) (delay time.Duration, shouldRetry bool) {
	e.gateway.Update(func(g gateway.Gateway) gateway.Gateway {
		g, delay, shouldRetry = g.DecideRetry(o, attempts, deadline, e.clock.Now())
		return g
	})
	return delay, shouldRetry
}

// reportedLoad returns the last reported load of a backend server in requests per slot, or 0 if none was reported.
func (e *Entry) reportedLoad(server string) float64 {
	if bits, ok := e.reportedLoads.Load(server); ok {
		return math.Float64frombits(bits.(*atomic.Uint64).Load())
	}
	return 0
}

// recordLoad stores the load of a backend server from a response.
func (e *Entry) recordLoad(response message.Forwarded) {
	if response.Load.Server == "" {
		return
	}
	bits, _ := e.reportedLoads.LoadOrStore(response.Load.Server, &atomic.Uint64{})
	bits.(*atomic.Uint64).Store(math.Float64bits(response.Load.RequestsPerSlot()))
}

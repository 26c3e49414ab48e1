// Package host combines all decisions of one entry host in one value: its roles in its group, the leases that it holds
// and the routing of requests.
package host

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/gateway"
	"redwingsill/core/group"
	"redwingsill/core/leaseholder"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/route"
	"redwingsill/core/snapshot"
	"redwingsill/core/timing"
)

// minReportedRate is the lowest rate of a key, or of a whole backend server, that is reported to the leader, in requests
// per second.
const minReportedRate = 5

// ticketSpread multiplies a ticket to get the seed of its route, so that consecutive tickets have distant seeds. It is
// 2^64 divided by the golden ratio.
const ticketSpread = 0x9e3779b97f4a7c15

// Host is the state of one entry host. It is immutable and does no input or output: [Host.Step] takes an event and the
// present time and returns the effects for the caller to carry out. All times passed to one host must come from one
// clock that never runs backwards.
type Host struct {
	timing   timing.Timing
	group    group.Group
	snapshot snapshot.Snapshot
	// leaseHolders gives the lease holder of each backend server for which this host has handled an event.
	leaseHolders map[string]leaseholder.LeaseHolder
	gateway      gateway.Gateway
	// pending gives the requests that are not answered yet, by ticket.
	pending map[uint64]pendingRequest
	// ticket is the newest ticket given to a request.
	ticket uint64
	// loads gives the load of each backend server in requests per slot, as last reported by a peer.
	loads map[string]float64
	// ratesReportedAt is when the request rates were last reported to the member role.
	ratesReportedAt time.Time
}

// New returns a host that has just started. The incarnation must be higher at each start of the same host, because a leader
// ignores reports of a lower incarnation than the latest one that it knows.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Host {
	return Host{
		timing:       t,
		group:        group.New(name, dataCentre, incarnation, t, now),
		leaseHolders: map[string]leaseholder.LeaseHolder{},
		gateway:      gateway.New(),
		pending:      map[uint64]pendingRequest{},
		loads:        map[string]float64{},
	}
}

// Group returns the host's roles in its group.
func (h Host) Group() group.Group { return h.group }

// Snapshot returns the state by which the host routes requests.
func (h Host) Snapshot() snapshot.Snapshot { return h.snapshot }

// LeaseHolder returns this host's lease holder of a backend server, and whether there is one.
func (h Host) LeaseHolder(server string) (leaseholder.LeaseHolder, bool) {
	holder, ok := h.leaseHolders[server]
	return holder, ok
}

// Step returns the host after an event and the resulting effects. These are Send, ReadKey, WriteKey, ListHosts,
// ReadVerdicts, Run, Abort and CompleteRequest; all others are carried out by the host itself.
func (h Host) Step(e event.Event, now time.Time) (Host, []effect.Effect) {
	var out, effects []effect.Effect
	h, effects = h.handle(e, now)
	for len(effects) > 0 {
		next := effects[0]
		effects = effects[1:]
		var more []effect.Effect
		switch f := next.(type) {
		case effect.Publish:
			h, more = h.withSnapshot(f.Snapshot, now)
		case effect.NotifyLeaseHolder:
			h, more = h.stepLeaseHolder(f.Event, now)
		case effect.NotifyMember:
			h.group, more = h.group.Step(f.Event, now)
		case effect.HandOver:
			h.group, more = h.group.WithHandover(f, now)
		case effect.CompleteRequest:
			h, more = h.handleOutcome(f, now)
			for _, m := range more {
				if completion, ok := m.(effect.CompleteRequest); ok {
					out = append(out, completion)
				}
			}
			more = slices.DeleteFunc(more, isCompleteRequest)
		default:
			out = append(out, f)
		}
		effects = append(effects, more...)
	}
	return h, out
}

// handle passes an event to the part of the host that handles it.
func (h Host) handle(e event.Event, now time.Time) (Host, []effect.Effect) {
	switch e := e.(type) {
	case event.RequestReceived:
		h.gateway = h.gateway.WithRequest()
		return h.startRequest(pendingRequest{request: e.Request, ticket: e.Ticket}, now)
	case event.MessageReceived:
		switch m := e.Message.(type) {
		case message.Forward:
			r := m.Request.WithDeadline(now.Add(m.Request.TimeLeft))
			return h.startRequest(pendingRequest{request: r, from: e.From, ticket: m.Ticket, server: m.Server, hops: m.Hops}, now)
		case message.Forwarded:
			h.loads = maps.Clone(h.loads)
			h.loads[m.Load.Server] = m.Load.RequestsPerSlot()
			return h, []effect.Effect{effect.CompleteRequest{Ticket: m.Ticket, Outcome: m.Outcome, Load: m.Load}}
		default:
		}
	case event.Ticked:
		return h.tick(now)
	case event.ServerEvent:
		return h.stepLeaseHolder(e, now)
	default:
	}
	var effects []effect.Effect
	h.group, effects = h.group.Step(e, now)
	return h, effects
}

// startRequest accepts a request under a new ticket and makes the first attempt.
func (h Host) startRequest(p pendingRequest, now time.Time) (Host, []effect.Effect) {
	h.ticket++
	return h.attempt(h.ticket, p, now)
}

// attempt sends a request to the target that the snapshot gives.
func (h Host) attempt(ticket uint64, p pendingRequest, now time.Time) (Host, []effect.Effect) {
	p.attempts++
	p.retryAt = time.Time{}
	h.pending = maps.Clone(h.pending)
	load := func(server string) float64 { return h.loads[server] }
	// Host does not track which peers are unreachable.
	isUnreachable := func(string) bool { return false }
	switch to := route.Choose(&h.snapshot, p.request, p.server, p.hops, load, isUnreachable, ticket*ticketSpread).(type) {
	case route.Local:
		p.target = to.Server
		h.pending[ticket] = p
		return h.stepLeaseHolder(event.Submitted{Server: to.Server, Ticket: ticket, Request: p.request}, now)
	case route.Peer:
		p.target = to.Host
		h.pending[ticket] = p
		forward := message.Forward{Ticket: ticket, Request: p.request.WithTimeLeft(now), Server: to.Server, Hops: p.hops + 1}
		return h, []effect.Effect{effect.Send{To: to.Host, Message: forward}}
	case route.Unroutable:
		h.pending[ticket] = p
		// Moved allows a retry, because another snapshot may have a route.
		return h, []effect.Effect{effect.CompleteRequest{Ticket: ticket, Outcome: outcome.NotRun{Reason: to.Reason,
			RetryAfter: h.timing.HeartbeatInterval, Moved: true}}}
	}
	return h, nil
}

// handleOutcome returns an outcome to the sender of the request, or schedules a retry. Only the host that a caller sent
// the request to retries it.
func (h Host) handleOutcome(completion effect.CompleteRequest, now time.Time) (Host, []effect.Effect) {
	p, ok := h.pending[completion.Ticket]
	if !ok {
		return h, nil
	}
	h.pending = maps.Clone(h.pending)
	if p.from == "" {
		next, wait, mustRetry := h.gateway.DecideRetry(completion.Outcome, p.attempts, p.request.Deadline, now)
		h.gateway = next
		if mustRetry {
			p.retryAt = now.Add(wait)
			h.pending[completion.Ticket] = p
			return h, nil
		}
	}
	delete(h.pending, completion.Ticket)
	if p.from == "" {
		completion.Ticket = p.ticket
		return h, []effect.Effect{completion}
	}
	return h, []effect.Effect{effect.Send{To: p.from, Message: message.Forwarded{Ticket: p.ticket, Outcome: completion.Outcome, Load: completion.Load}}}
}

// tick passes the time to every part, retries requests that are due and ends those that have had no outcome for one
// heartbeat interval after their deadline. It reports request rates to the member role once per heartbeat interval.
func (h Host) tick(now time.Time) (Host, []effect.Effect) {
	var effects, more []effect.Effect
	for _, server := range slices.Sorted(maps.Keys(h.leaseHolders)) {
		h, more = h.stepLeaseHolder(event.Ticked{Server: server}, now)
		effects = append(effects, more...)
		if now.Sub(h.ratesReportedAt) > h.timing.HeartbeatInterval {
			h.group, more = h.group.Step(event.RequestRatesMeasured{Server: server, RequestRates: h.leaseHolders[server].HotKeyRates(minReportedRate, now)}, now)
			effects = append(effects, more...)
		}
	}
	if now.Sub(h.ratesReportedAt) > h.timing.HeartbeatInterval {
		h.ratesReportedAt = now
	}
	for _, ticket := range slices.Sorted(maps.Keys(h.pending)) {
		p := h.pending[ticket]
		switch {
		case !p.retryAt.IsZero() && !now.Before(p.retryAt):
			h, more = h.attempt(ticket, p, now)
			effects = append(effects, more...)
		case now.After(p.request.Deadline.Add(h.timing.HeartbeatInterval)):
			effects = append(effects, effect.CompleteRequest{Ticket: ticket, Outcome: outcome.Unknown{Reason: "no answer in time"}})
		}
	}
	h.group, more = h.group.Step(event.Ticked{}, now)
	return h, append(effects, more...)
}

// Package host is every decision of one entry host as one value: its part in its cell, its stewards and its gateway.
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

// heatRate is the requests per second from which a key is reported.
const heatRate = 5

// Host is the state of one entry host. It is immutable, and does nothing of its own: [Host.Step] takes what happened
// and returns what is to be done, by the time that the caller gives. All times of one host must come from one clock
// that never runs backwards.
type Host struct {
	timing   timing.Timing
	cell     group.Group
	snapshot snapshot.Snapshot
	stewards map[string]leaseholder.LeaseHolder
	gateway  gateway.Gateway
	calls    map[uint64]call
	ticket   uint64
	loads    map[string]float64
	heatedAt time.Time
}

// New returns a host that has just started. The incarnation must differ from start to start.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Host {
	return Host{
		timing:   t,
		cell:     group.New(name, dataCentre, incarnation, t, now),
		stewards: map[string]leaseholder.LeaseHolder{},
		gateway:  gateway.New(),
		calls:    map[uint64]call{},
		loads:    map[string]float64{},
	}
}

// Cell returns the host's part in its cell.
func (h Host) Cell() group.Group { return h.cell }

// Snapshot returns what the host routes by.
func (h Host) Snapshot() snapshot.Snapshot { return h.snapshot }

// Steward returns the steward of a backend server as this host has it, and whether it has one.
func (h Host) Steward(server string) (leaseholder.LeaseHolder, bool) {
	s, ok := h.stewards[server]
	return s, ok
}

// Step returns the host after an event, and what is to be done. The effects are Send, ReadKey, WriteKey, ListHosts,
// HearVerdicts, Run, Abort and Tell; all others are carried out within.
func (h Host) Step(e event.Event, now time.Time) (Host, []effect.Effect) {
	var out, effects []effect.Effect
	h, effects = h.take(e, now)
	for len(effects) > 0 {
		next := effects[0]
		effects = effects[1:]
		var more []effect.Effect
		switch f := next.(type) {
		case effect.Publish:
			h, more = h.publish(f.Snapshot, now)
		case effect.NotifyLeaseHolder:
			h, more = h.instruct(f.Event, now)
		case effect.NotifyMember:
			h.cell, more = h.cell.Step(f.Event, now)
		case effect.HandOver:
			h.cell, more = h.cell.WithHandover(f, now)
		case effect.CompleteRequest:
			h, more = h.told(f, now)
			for _, m := range more {
				if t, ok := m.(effect.CompleteRequest); ok {
					out = append(out, t)
				}
			}
			more = slices.DeleteFunc(more, isTell)
		default:
			out = append(out, f)
		}
		effects = append(effects, more...)
	}
	return h, out
}

// take gives an event to the part of the host that it concerns.
func (h Host) take(e event.Event, now time.Time) (Host, []effect.Effect) {
	switch e := e.(type) {
	case event.RequestReceived:
		h.gateway = h.gateway.WithRequest()
		return h.open(call{request: e.Request, ticket: e.Ticket}, now)
	case event.MessageReceived:
		switch m := e.Message.(type) {
		case message.Forward:
			r := m.Request.WithDeadline(now.Add(m.Request.Patience))
			return h.open(call{request: r, from: e.From, ticket: m.Ticket, server: m.Server, hops: m.Hops}, now)
		case message.Forwarded:
			h.loads = maps.Clone(h.loads)
			h.loads[m.Load.Server] = m.Load.Score()
			return h, []effect.Effect{effect.CompleteRequest{Ticket: m.Ticket, Outcome: m.Outcome, Load: m.Load}}
		default:
		}
	case event.Ticked:
		return h.tick(now)
	case event.ServerEvent:
		return h.instruct(e, now)
	default:
	}
	var effects []effect.Effect
	h.cell, effects = h.cell.Step(e, now)
	return h, effects
}

// open takes a request under a ticket of this host's own.
func (h Host) open(c call, now time.Time) (Host, []effect.Effect) {
	h.ticket++
	return h.try(h.ticket, c, now)
}

// try sends a request to where the snapshot says.
func (h Host) try(ticket uint64, c call, now time.Time) (Host, []effect.Effect) {
	c.tries++
	c.againAt = time.Time{}
	h.calls = maps.Clone(h.calls)
	load := func(server string) float64 { return h.loads[server] }
	isLost := func(string) bool { return false }
	switch to := route.Choose(&h.snapshot, c.request, c.server, c.hops, load, isLost, ticket*0x9e3779b97f4a7c15).(type) {
	case route.Local:
		c.asked = to.Server
		h.calls[ticket] = c
		return h.instruct(event.Submitted{Server: to.Server, Ticket: ticket, Request: c.request}, now)
	case route.Peer:
		c.asked = to.Host
		h.calls[ticket] = c
		ask := message.Forward{Ticket: ticket, Request: c.request.WithPatience(now), Server: to.Server, Hops: c.hops + 1}
		return h, []effect.Effect{effect.Send{To: to.Host, Message: ask}}
	case route.Nowhere:
		h.calls[ticket] = c
		return h, []effect.Effect{effect.CompleteRequest{Ticket: ticket, Outcome: outcome.NotRun{Reason: to.Reason,
			RetryAfter: h.timing.Beat, Moved: true}}}
	}
	return h, nil
}

// told passes an outcome on to who asked, or tries again.
func (h Host) told(t effect.CompleteRequest, now time.Time) (Host, []effect.Effect) {
	c, ok := h.calls[t.Ticket]
	if !ok {
		return h, nil
	}
	h.calls = maps.Clone(h.calls)
	if c.from == "" {
		next, wait, again := h.gateway.Again(t.Outcome, c.tries, c.request.Deadline, now)
		h.gateway = next
		if again {
			c.againAt = now.Add(wait)
			h.calls[t.Ticket] = c
			return h, nil
		}
	}
	delete(h.calls, t.Ticket)
	if c.from == "" {
		t.Ticket = c.ticket
		return h, []effect.Effect{t}
	}
	return h, []effect.Effect{effect.Send{To: c.from, Message: message.Forwarded{Ticket: c.ticket, Outcome: t.Outcome, Load: t.Load}}}
}

// tick passes time to every part.
func (h Host) tick(now time.Time) (Host, []effect.Effect) {
	var effects, more []effect.Effect
	for _, server := range slices.Sorted(maps.Keys(h.stewards)) {
		h, more = h.instruct(event.Ticked{Server: server}, now)
		effects = append(effects, more...)
		if now.Sub(h.heatedAt) > h.timing.Beat {
			h.cell, more = h.cell.Step(event.RequestRatesMeasured{Server: server, RequestRates: h.stewards[server].HotKeyRates(heatRate, now)}, now)
			effects = append(effects, more...)
		}
	}
	if now.Sub(h.heatedAt) > h.timing.Beat {
		h.heatedAt = now
	}
	for _, ticket := range slices.Sorted(maps.Keys(h.calls)) {
		c := h.calls[ticket]
		switch {
		case !c.againAt.IsZero() && !now.Before(c.againAt):
			h, more = h.try(ticket, c, now)
			effects = append(effects, more...)
		case now.After(c.request.Deadline.Add(h.timing.Beat)):
			effects = append(effects, effect.CompleteRequest{Ticket: ticket, Outcome: outcome.Unknown{Reason: "no answer in time"}})
		}
	}
	h.cell, more = h.cell.Step(event.Ticked{}, now)
	return h, append(effects, more...)
}

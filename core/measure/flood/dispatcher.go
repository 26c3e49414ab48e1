package flood

import (
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/leaseholder"
	"redwingsill/core/outcome"
	"redwingsill/core/resource"
	"redwingsill/core/timing"
)

// dispatcher queues the requests for one backend server and sends them: through a lease holder, or first come, first served
// if isFIFO is set.
type dispatcher struct {
	name  string
	slots int
	// queueLimit, queue and running are used only if isFIFO is set; otherwise the lease holder keeps the queue.
	queueLimit  int
	leaseHolder leaseholder.LeaseHolder
	isFIFO      bool
	queue       []queuedRequest
	running     int
	isLost      bool
	backend     *fakeBackend
}

// newDispatcher returns a dispatcher for a policy. Its lease holder, if it has one, holds a lease for the whole run unless
// the server is lost.
func newDispatcher(name string, deployed deployment, p policy, b *fakeBackend, now time.Time) *dispatcher {
	ranks := deployed.ranks
	d := &dispatcher{name: name, slots: deployed.slots, backend: b}
	for _, r := range ranks {
		d.queueLimit += r.QueueLimit
	}
	switch p.(type) {
	case firstComeFirstServed:
		d.isFIFO = true
		return d
	case strictRanks:
		ranks = withoutFloors(ranks)
	case everyHostSends:
		d.slots = max(1, deployed.slots/sendingHosts)
	case ranked, freeRetries:
	}
	server := resource.BackendServer{Name: name, Service: deployed.name, Slots: d.slots, Connections: 130}
	service := resource.Service{Name: deployed.name, Slots: 1, MaxAttempt: millis(2000)}
	d.leaseHolder = leaseholder.New(server, service, ranks, timing.Default())
	d.leaseHolder, _ = d.leaseHolder.Step(event.AssignmentChanged{Server: name, Assignment: assignment.Assignment{}.WithWrite(1, "")}, now)
	g := grant.Grant{Term: 1, Generation: 1}
	d.leaseHolder, _ = d.leaseHolder.Step(event.LeaseChanged{Server: name,
		Lease: lease.Lease{Server: name, Grant: g, Origin: g}.WithExpiry(now.Add(24 * time.Hour))}, now)
	return d
}

// load returns the queued and running requests per slot.
func (d *dispatcher) load() float64 {
	if d.isFIFO {
		return float64(len(d.queue)+d.running) / float64(d.slots)
	}
	return d.leaseHolder.Load().RequestsPerSlot()
}

// step handles an event and returns the effects to perform.
func (d *dispatcher) step(e event.Event, now time.Time) []effect.Effect {
	if !d.isFIFO {
		var effects []effect.Effect
		d.leaseHolder, effects = d.leaseHolder.Step(e, now)
		return effects
	}
	var effects []effect.Effect
	switch e := e.(type) {
	case event.Submitted:
		if len(d.queue) >= d.queueLimit {
			return []effect.Effect{effect.CompleteRequest{Ticket: e.Ticket, Outcome: outcome.NotRun{Reason: "full"}}}
		}
		d.queue = append(d.queue, queuedRequest{ticket: e.Ticket, request: e.Request})
	case event.AttemptFinished:
		d.running--
		effects = append(effects, effect.CompleteRequest{Ticket: e.Ticket, Outcome: e.Outcome})
	default:
	}
	for d.running < d.slots && len(d.queue) > 0 {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if now.After(next.request.Deadline) {
			effects = append(effects, effect.CompleteRequest{Ticket: next.ticket, Outcome: outcome.NotRun{Reason: "late"}})
			continue
		}
		d.running++
		effects = append(effects, effect.Run{Server: d.name, Ticket: next.ticket, Request: next.request})
	}
	return effects
}

// withoutFloors returns the ranks with their floors set to zero.
func withoutFloors(ranks []resource.Rank) []resource.Rank {
	var floorless []resource.Rank
	for _, r := range ranks {
		r.Floor = 0
		floorless = append(floorless, r)
	}
	return floorless
}

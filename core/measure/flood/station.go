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

// station serves one backend server: by its steward, or first come first served.
type station struct {
	name    string
	slots   int
	limit   int
	steward leaseholder.LeaseHolder
	isPlain bool
	line    []queued
	running int
	isLost  bool
	backend *backend
}

func newStation(name string, d deployment, p policy, b *backend, now time.Time) *station {
	ranks := d.ranks
	s := &station{name: name, slots: d.slots, backend: b}
	for _, r := range ranks {
		s.limit += r.QueueLimit
	}
	switch p.(type) {
	case firstComeFirstServed:
		s.isPlain = true
		return s
	case strictRanks:
		ranks = withoutFloors(ranks)
	case everyHostSends:
		s.slots = max(1, d.slots/sendingHosts)
	case ranked, freeRetries:
	}
	server := resource.BackendServer{Name: name, Service: d.name, Slots: s.slots, Connections: 130}
	service := resource.Service{Name: d.name, Slots: 1, MaxAttempt: millis(2000)}
	s.steward = leaseholder.New(server, service, ranks, timing.Default())
	s.steward, _ = s.steward.Step(event.AssignmentChanged{Server: name, Assignment: assignment.Assignment{}.WithWrite(1, "")}, now)
	g := grant.Grant{Term: 1, Generation: 1}
	s.steward, _ = s.steward.Step(event.LeaseChanged{Server: name,
		Lease: lease.Lease{Server: name, Grant: g, Origin: g}.WithExpiry(now.Add(24 * time.Hour))}, now)
	return s
}

// load returns the work for each slot.
func (s *station) load() float64 {
	if s.isPlain {
		return float64(len(s.line)+s.running) / float64(s.slots)
	}
	return s.steward.Load().RequestsPerSlot()
}

// step gives an event to the station and returns what is to be done.
func (s *station) step(e event.Event, now time.Time) []effect.Effect {
	if !s.isPlain {
		var effects []effect.Effect
		s.steward, effects = s.steward.Step(e, now)
		return effects
	}
	var effects []effect.Effect
	switch e := e.(type) {
	case event.Submitted:
		if len(s.line) >= s.limit {
			return []effect.Effect{effect.CompleteRequest{Ticket: e.Ticket, Outcome: outcome.NotRun{Reason: "full"}}}
		}
		s.line = append(s.line, queued{ticket: e.Ticket, request: e.Request})
	case event.AttemptFinished:
		s.running--
		effects = append(effects, effect.CompleteRequest{Ticket: e.Ticket, Outcome: e.Outcome})
	default:
	}
	for s.running < s.slots && len(s.line) > 0 {
		next := s.line[0]
		s.line = s.line[1:]
		if now.After(next.request.Deadline) {
			effects = append(effects, effect.CompleteRequest{Ticket: next.ticket, Outcome: outcome.NotRun{Reason: "late"}})
			continue
		}
		s.running++
		effects = append(effects, effect.Run{Server: s.name, Ticket: next.ticket, Request: next.request})
	}
	return effects
}

func withoutFloors(ranks []resource.Rank) []resource.Rank {
	var without []resource.Rank
	for _, r := range ranks {
		r.Floor = 0
		without = append(without, r)
	}
	return without
}

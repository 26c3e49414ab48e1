package host

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/leaseholder"
	"redwingsill/core/resource"
	"redwingsill/core/snapshot"
	"redwingsill/core/timing"
)

// publish takes over a new snapshot and tells the stewards.
func (h Host) publish(s snapshot.Snapshot, now time.Time) (Host, []effect.Effect) {
	h.snapshot = s
	var effects []effect.Effect
	for _, server := range slices.Sorted(maps.Keys(h.stewards)) {
		var more []effect.Effect
		h, more = h.instruct(event.AssignmentChanged{Server: server, Assignment: s.Assignment, Configuration: s.Configuration}, now)
		effects = append(effects, more...)
	}
	return h, effects
}

// instruct gives an event to the steward that it names. A permit makes the steward where there is none.
func (h Host) instruct(e event.ServerEvent, now time.Time) (Host, []effect.Effect) {
	server := e.ServerName()
	var effects []effect.Effect
	s, ok := h.stewards[server]
	if !ok {
		made, ok := NewSteward(h.snapshot, server, h.timing)
		if !ok {
			return h, nil
		}
		s, effects = made.Step(event.AssignmentChanged{Server: server, Assignment: h.snapshot.Assignment,
			Configuration: h.snapshot.Configuration}, now)
	}
	s, more := s.Step(e, now)
	h.stewards = maps.Clone(h.stewards)
	h.stewards[server] = s
	return h, append(effects, more...)
}

// NewSteward returns the steward of a declared backend server, without a permit, and whether the server is declared.
func NewSteward(s snapshot.Snapshot, server string, t timing.Timing) (leaseholder.LeaseHolder, bool) {
	c := s.Configuration
	b, ok := c.BackendServers[server]
	if !ok {
		return leaseholder.LeaseHolder{}, false
	}
	var ranks []resource.Rank
	for _, name := range slices.Sorted(maps.Keys(c.Ranks)) {
		ranks = append(ranks, c.Ranks[name])
	}
	return leaseholder.New(b, c.Services[b.Service], ranks, t), true
}

func isTell(e effect.Effect) bool {
	_, ok := e.(effect.CompleteRequest)
	return ok
}

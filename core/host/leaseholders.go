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

// withSnapshot adopts a new snapshot and passes its assignment and configuration to the lease holders.
func (h Host) withSnapshot(s snapshot.Snapshot, now time.Time) (Host, []effect.Effect) {
	h.snapshot = s
	var effects []effect.Effect
	for _, server := range slices.Sorted(maps.Keys(h.leaseHolders)) {
		var more []effect.Effect
		h, more = h.stepLeaseHolder(event.AssignmentChanged{Server: server, Assignment: s.Assignment, Configuration: s.Configuration}, now)
		effects = append(effects, more...)
	}
	return h, effects
}

// stepLeaseHolder passes an event to the lease holder of the server that it names. It creates the lease holder if there
// is none, and drops the event if the configuration does not declare the server.
func (h Host) stepLeaseHolder(e event.ServerEvent, now time.Time) (Host, []effect.Effect) {
	server := e.ServerName()
	var effects []effect.Effect
	holder, ok := h.leaseHolders[server]
	if !ok {
		created, ok := NewLeaseHolder(h.snapshot, server, h.timing)
		if !ok {
			return h, nil
		}
		holder, effects = created.Step(event.AssignmentChanged{Server: server, Assignment: h.snapshot.Assignment,
			Configuration: h.snapshot.Configuration}, now)
	}
	holder, more := holder.Step(e, now)
	h.leaseHolders = maps.Clone(h.leaseHolders)
	h.leaseHolders[server] = holder
	return h, append(effects, more...)
}

// NewLeaseHolder returns a lease holder without a lease for a backend server, and whether the configuration declares
// the server.
func NewLeaseHolder(s snapshot.Snapshot, server string, t timing.Timing) (leaseholder.LeaseHolder, bool) {
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

func isCompleteRequest(e effect.Effect) bool {
	_, ok := e.(effect.CompleteRequest)
	return ok
}

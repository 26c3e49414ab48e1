package leaseholder

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/dedup"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/queueitem"
	"redwingsill/core/unit"
)

// changeLease renews, replaces or revokes the lease. It ignores an older lease, and the renewal of a lease whose
// server has been released. A newer grant drops the unfinished releases of the whole server, since they apply only to
// earlier grants.
func (h LeaseHolder) changeLease(next lease.Lease, now time.Time) (LeaseHolder, []effect.Effect) {
	if next.Grant.IsZero() {
		h.lease = h.lease.WithExpiry(time.Time{})
		return h.refuseQueued(func(queueitem.QueueItem) bool { return true }, now)
	}
	if next.Grant.Compare(h.lease.Grant) < 0 || next.Grant == h.lease.Grant && h.hasReleasedServer() {
		return h, nil
	}
	// A lease of another origin needs another dedup table.
	if next.Origin != h.lease.Origin || h.hasReleasedServer() {
		h = h.startLease(next, now)
	} else if next.Grant != h.lease.Grant {
		h.releases = withoutServerReleases(h.releases)
	}
	h.lease = next
	return h, nil
}

// startLease starts a lease with the dedup entries that the previous lease holder handed over, or with an empty dedup
// table.
func (h LeaseHolder) startLease(next lease.Lease, now time.Time) LeaseHolder {
	// No request for the server's units ran elsewhere in the last next.Idle, so IDs issued since then have not run.
	h.dedup = dedup.New(maxDedupEntries, h.timing.OutcomeRetention, h.timing.ClockSkew, now.Add(h.timing.ClockSkew-next.Idle))
	for _, id := range slices.Sorted(maps.Keys(h.adoptions)) {
		if a := h.adoptions[id]; a.Origin == next.Origin {
			h.dedup = dedup.New(maxDedupEntries, h.timing.OutcomeRetention, h.timing.ClockSkew, a.Cutoff).WithEntries(a.Entries, a.Cutoff)
			h = h.withCutoffsExcept(a.CoveredUnits, now)
		}
	}
	h.adoptions = map[int64]message.Adopt{}
	h.releases = map[int64]releaseState{}
	h.limiter = h.limiter.withColdStart()
	return h
}

// withCutoffsExcept sets a cutoff for each owned unit that is not in covered: request IDs issued before it may have run,
// because the dedup table lacks the entries of earlier requests of these units.
func (h LeaseHolder) withCutoffsExcept(covered []unit.Unit, now time.Time) LeaseHolder {
	for _, u := range h.assignment.UnitsOf(h.server.Name) {
		if !slices.Contains(covered, u) {
			h.dedup = h.dedup.WithUnitCutoff(u, now.Add(h.timing.ClockSkew))
		}
	}
	return h
}

// adoptEntries records the entries handed over by another lease holder until the lease or assignment that they belong
// to arrives. Entries of single units are added to the dedup table at once.
func (h LeaseHolder) adoptEntries(a message.Adopt) LeaseHolder {
	if len(a.Units) > 0 {
		h.dedup = h.dedup.WithEntries(a.Entries, a.Cutoff)
	}
	h.adoptions = maps.Clone(h.adoptions)
	h.adoptions[a.ReleaseID] = a
	return h
}

// applyAssignment applies the configuration and, if it is newer than the current one, the assignment. Queued requests
// of units that the server does not own any more are completed with NotRun.
func (h LeaseHolder) applyAssignment(e event.AssignmentChanged, now time.Time) (LeaseHolder, []effect.Effect) {
	h = h.applyConfiguration(e)
	next := e.Assignment
	if next.Term < h.assignment.Term || next.Term == h.assignment.Term && next.Version <= h.assignment.Version {
		return h, nil
	}
	for _, u := range h.gainedUnits(next) {
		if !h.hasAdopted(u) {
			h.dedup = h.dedup.WithUnitCutoff(u, now.Add(h.timing.ClockSkew))
		}
	}
	for _, r := range h.releases {
		if !r.release.WholeServer && r.isDone && r.release.IsSupersededBy(next.Term, next.Version) {
			h.releases = withoutRelease(h.releases, r.release.ID)
		}
	}
	h.adoptions = withoutUnitAdoptions(h.adoptions)
	h.assignment = next
	return h.refuseQueued(func(item queueitem.QueueItem) bool {
		hash := item.Request.Hash()
		return hash != 0 && next.OwnerOfUnit(next.UnitOf(item.Request.Service, hash)) != h.server.Name
	}, now)
}

// gainedUnits returns the units that another server may have served before this server owns them in next: units that it
// does not own yet, hot keys that return to their hash slot, and released units, which an assignment that never arrived
// here may have moved away.
func (h LeaseHolder) gainedUnits(next assignment.Assignment) []unit.Unit {
	var gained []unit.Unit
	for _, u := range next.UnitsOf(h.server.Name) {
		if h.assignment.OwnerOfUnit(u) != h.server.Name {
			gained = append(gained, u)
		}
	}
	for u := range h.assignment.MovedUnits(next) {
		if u.IsHotKey() && next.ServingServer(u) == h.server.Name {
			gained = append(gained, u)
		}
	}
	for _, r := range h.releases {
		for _, u := range r.release.Units {
			if r.isDone && r.release.IsSupersededBy(next.Term, next.Version) && next.ServingServer(u) == h.server.Name {
				gained = append(gained, u)
			}
		}
	}
	return gained
}

func (h LeaseHolder) applyConfiguration(e event.AssignmentChanged) LeaseHolder {
	if server, ok := e.Configuration.BackendServers[h.server.Name]; ok {
		h.server = server
	}
	if service, ok := e.Configuration.Services[h.server.Service]; ok {
		h.service = service
	}
	return h
}

// hasAdopted reports whether the dedup entries of u, or of its whole hash slot, have been handed over to this lease
// holder.
func (h LeaseHolder) hasAdopted(u unit.Unit) bool {
	for _, a := range h.adoptions {
		for _, v := range a.Units {
			if v == u || v == (unit.Unit{Service: u.Service, HashSlot: u.HashSlot}) {
				return true
			}
		}
	}
	return false
}

// refuseQueued completes with NotRun all queued requests that match.
func (h LeaseHolder) refuseQueued(matches func(queueitem.QueueItem) bool, now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for _, item := range h.queue.Items() {
		if matches(item) {
			var responses []effect.Effect
			h.queue = h.queue.Without(item)
			h, responses = h.completeAll(item, outcome.NotRun{Reason: h.server.Name + " has moved", Moved: true}, now)
			effects = append(effects, responses...)
		}
	}
	return h, effects
}

func withoutServerReleases(m map[int64]releaseState) map[int64]releaseState {
	next := maps.Clone(m)
	maps.DeleteFunc(next, func(_ int64, r releaseState) bool { return r.release.WholeServer })
	return next
}

func withoutRelease(m map[int64]releaseState, id int64) map[int64]releaseState {
	next := maps.Clone(m)
	delete(next, id)
	return next
}

func withoutUnitAdoptions(m map[int64]message.Adopt) map[int64]message.Adopt {
	next := maps.Clone(m)
	maps.DeleteFunc(next, func(_ int64, a message.Adopt) bool { return len(a.Units) > 0 })
	return next
}

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

// changePermit renews, replaces or takes away the permit.
func (s LeaseHolder) changePermit(next lease.Lease, now time.Time) (LeaseHolder, []effect.Effect) {
	if next.Grant.IsZero() {
		s.permit = s.permit.WithExpiry(time.Time{})
		return s.refuseQueued(func(queueitem.QueueItem) bool { return true }, now)
	}
	if next.Grant.Compare(s.permit.Grant) < 0 || next.Grant == s.permit.Grant && s.hasGivenUp() {
		return s, nil
	}
	if next.Origin != s.permit.Origin || s.hasGivenUp() {
		s = s.begin(next, now)
	} else if next.Grant != s.permit.Grant {
		s.releases = withoutWhole(s.releases)
	}
	s.permit = next
	return s, nil
}

// begin starts a new holding: with the memory that the holder before handed over, or with none.
func (s LeaseHolder) begin(next lease.Lease, now time.Time) LeaseHolder {
	s.memory = dedup.New(maxRemembered, s.timing.OutcomeRetention, s.timing.ClockSkew, now.Add(s.timing.ClockSkew-next.Idle))
	for _, id := range slices.Sorted(maps.Keys(s.adoptions)) {
		if a := s.adoptions[id]; a.Origin == next.Origin {
			s.memory = dedup.New(maxRemembered, s.timing.OutcomeRetention, s.timing.ClockSkew, a.Cutoff).WithEntries(a.Entries, a.Cutoff)
			s = s.withGained(a.Owned, now)
		}
	}
	s.adoptions = map[int64]message.Adopt{}
	s.releases = map[int64]releasing{}
	s.pace = s.pace.cold()
	return s
}

// withGained returns the steward whose memory does not cover the past of the units that the server owns beside those
// given.
func (s LeaseHolder) withGained(covered []unit.Unit, now time.Time) LeaseHolder {
	for _, u := range s.assignment.UnitsOf(s.server.Name) {
		if !slices.Contains(covered, u) {
			s.memory = s.memory.WithUnitCutoff(u, now.Add(s.timing.ClockSkew))
		}
	}
	return s
}

// adopt keeps the memory that another steward hands over, until the permit or the assignment it belongs to comes.
func (s LeaseHolder) adopt(a message.Adopt) LeaseHolder {
	if len(a.Units) > 0 {
		s.memory = s.memory.WithEntries(a.Entries, a.Cutoff)
	}
	s.adoptions = maps.Clone(s.adoptions)
	s.adoptions[a.ReleaseID] = a
	return s
}

// assign takes over a newer assignment and configuration.
func (s LeaseHolder) assign(e event.Assigned, now time.Time) (LeaseHolder, []effect.Effect) {
	s = s.configure(e)
	next := e.Assignment
	if next.Term < s.assignment.Term || next.Term == s.assignment.Term && next.Version <= s.assignment.Version {
		return s, nil
	}
	for _, u := range s.gainedIn(next) {
		if !s.hasAdopted(u) {
			s.memory = s.memory.WithUnitCutoff(u, now.Add(s.timing.ClockSkew))
		}
	}
	for _, r := range s.releases {
		if !r.order.All && r.isDone && r.order.IsOver(next.Term, next.Version) {
			s.releases = withoutRelease(s.releases, r.order.ID)
		}
	}
	s.adoptions = withoutUnits(s.adoptions)
	s.assignment = next
	return s.refuseQueued(func(i queueitem.QueueItem) bool {
		hash := i.Request.Hash()
		return hash != 0 && next.OwnerOfUnit(next.UnitOf(i.Request.Service, hash)) != s.server.Name
	}, now)
}

// gainedIn returns the units that may have been served elsewhere before the server owns them in next: those that it does
// not own yet, hot keys that come back to their slot, and units that it has released, which may have been away in an
// assignment that never came here.
func (s LeaseHolder) gainedIn(next assignment.Assignment) []unit.Unit {
	var gained []unit.Unit
	for _, u := range next.UnitsOf(s.server.Name) {
		if s.assignment.OwnerOfUnit(u) != s.server.Name {
			gained = append(gained, u)
		}
	}
	for u := range s.assignment.Moves(next) {
		if u.IsHotKey() && next.ServerOf(u) == s.server.Name {
			gained = append(gained, u)
		}
	}
	for _, r := range s.releases {
		for _, u := range r.order.Units {
			if r.isDone && r.order.IsOver(next.Term, next.Version) && next.ServerOf(u) == s.server.Name {
				gained = append(gained, u)
			}
		}
	}
	return gained
}

func (s LeaseHolder) configure(e event.Assigned) LeaseHolder {
	if server, ok := e.Configuration.BackendServers[s.server.Name]; ok {
		s.server = server
	}
	if service, ok := e.Configuration.Services[s.server.Service]; ok {
		s.service = service
	}
	return s
}

func (s LeaseHolder) hasAdopted(u unit.Unit) bool {
	for _, a := range s.adoptions {
		for _, v := range a.Units {
			if v == u || v == (unit.Unit{Service: u.Service, Slot: u.Slot}) {
				return true
			}
		}
	}
	return false
}

// refuseQueued tells all waiting requests that match that they did not run.
func (s LeaseHolder) refuseQueued(matches func(queueitem.QueueItem) bool, now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for _, i := range s.queue.Items() {
		if matches(i) {
			var told []effect.Effect
			s.queue = s.queue.Without(i)
			s, told = s.settle(i, outcome.NotRun{Reason: s.server.Name + " has moved", Moved: true}, now)
			effects = append(effects, told...)
		}
	}
	return s, effects
}

func withoutWhole(m map[int64]releasing) map[int64]releasing {
	next := maps.Clone(m)
	maps.DeleteFunc(next, func(_ int64, r releasing) bool { return r.order.All })
	return next
}

func withoutRelease(m map[int64]releasing, id int64) map[int64]releasing {
	next := maps.Clone(m)
	delete(next, id)
	return next
}

func withoutUnits(m map[int64]message.Adopt) map[int64]message.Adopt {
	next := maps.Clone(m)
	maps.DeleteFunc(next, func(_ int64, a message.Adopt) bool { return len(a.Units) > 0 })
	return next
}

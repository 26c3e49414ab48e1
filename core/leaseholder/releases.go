package leaseholder

import (
	"maps"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/message"
	"redwingsill/core/queueitem"
	"redwingsill/core/release"
	"redwingsill/core/unit"
)

// release begins to give up units, or the whole server. An order that is known already changes nothing, but is
// answered again where it is done. While the memory is on its way to an heir, the heir's answer ends the order.
func (s LeaseHolder) release(order release.Release, now time.Time) (LeaseHolder, []effect.Effect) {
	if known, ok := s.releases[order.ID]; ok {
		if known.isDone && order.Heir == "" {
			return s, []effect.Effect{effect.Inform{Event: event.Released{Release: order}}}
		}
		return s, nil
	}
	s.releases = maps.Clone(s.releases)
	s.releases[order.ID] = releasing{order: order}
	return s.refuseQueued(func(i queueitem.QueueItem) bool { return s.covers(order, i) }, now)
}

// finishReleases hands over what no running request holds back any more.
func (s LeaseHolder) finishReleases(now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for id, r := range s.releases {
		if r.isDone || s.isBusyWith(r.order) {
			continue
		}
		r.isDone = true
		s.releases = maps.Clone(s.releases)
		s.releases[id] = r
		effects = append(effects, s.handOver(r.order))
		if r.order.All {
			s.permit = s.permit.WithExpiry(time.Time{})
		}
	}
	return s, effects
}

func (s LeaseHolder) handOver(order release.Release) effect.Effect {
	if order.Heir == "" {
		return effect.Inform{Event: event.Released{Release: order}}
	}
	owned := []unit.Unit(nil)
	if order.All {
		owned = s.assignment.UnitsOf(s.server.Name)
	}
	return effect.HandOver{Release: order, Adopt: message.Adopt{
		ReleaseID: order.ID,
		Server:    order.Successor,
		Owned:     owned,
		Origin:    s.permit.Origin,
		Units:     order.Units,
		Entries:   s.memory.Entries(order.Units),
		Cutoff:    s.memory.Cutoff(),
	}}
}

// isBusyWith reports whether a request runs, or may still run, that the order covers.
func (s LeaseHolder) isBusyWith(order release.Release) bool {
	for _, run := range s.running {
		if s.covers(order, run.item) {
			return true
		}
	}
	return false
}

// hasGivenUp reports whether the whole server has been released.
func (s LeaseHolder) hasGivenUp() bool {
	for _, r := range s.releases {
		if r.order.All && r.isDone {
			return true
		}
	}
	return false
}

// isReleased reports whether an order of release covers a request.
func (s LeaseHolder) isReleased(hash uint64, u unit.Unit) bool {
	for _, r := range s.releases {
		if r.order.All || hash != 0 && coversHash(r.order, hash, u) {
			return true
		}
	}
	return false
}

func (s LeaseHolder) covers(order release.Release, i queueitem.QueueItem) bool {
	hash := i.Request.Hash()
	return order.All || hash != 0 && coversHash(order, hash, s.unitOf(i.Request.Service, hash))
}

// coversHash reports whether the order covers a hash, whose unit is u: as the unit, or as a key that leaves its slot.
func coversHash(order release.Release, hash uint64, u unit.Unit) bool {
	return order.Covers(u) || order.Covers(unit.Unit{Service: u.Service, Slot: u.Slot, Hash: hash})
}

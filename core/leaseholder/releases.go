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

// startRelease begins a release. A repeated request starts nothing. If the release is done and has no successor, the
// completion event is sent again; with a successor, the member completes the release once the successor has
// acknowledged the handover or the handover has timed out.
func (h LeaseHolder) startRelease(r release.Release, now time.Time) (LeaseHolder, []effect.Effect) {
	if known, ok := h.releases[r.ID]; ok {
		if known.isDone && r.SuccessorHost == "" {
			return h, []effect.Effect{effect.NotifyMember{Event: event.Released{Release: r}}}
		}
		return h, nil
	}
	h.releases = maps.Clone(h.releases)
	h.releases[r.ID] = releaseState{release: r}
	return h.refuseQueued(func(item queueitem.QueueItem) bool { return h.covers(r, item) }, now)
}

// finishReleases marks the releases as done whose running requests have all ended, and returns the effects of handOver.
// It ends the lease if the whole server is released.
func (h LeaseHolder) finishReleases(now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for id, r := range h.releases {
		if r.isDone || h.isRunningUnder(r.release) {
			continue
		}
		r.isDone = true
		h.releases = maps.Clone(h.releases)
		h.releases[id] = r
		effects = append(effects, h.handOver(r.release))
		if r.release.WholeServer {
			h.lease = h.lease.WithExpiry(time.Time{})
		}
	}
	return h, effects
}

// handOver returns the effect that follows the end of the last running request of a release: the completion event or,
// with a successor, the handover of the dedup entries.
func (h LeaseHolder) handOver(r release.Release) effect.Effect {
	if r.SuccessorHost == "" {
		return effect.NotifyMember{Event: event.Released{Release: r}}
	}
	owned := []unit.Unit(nil)
	if r.WholeServer {
		owned = h.assignment.UnitsOf(h.server.Name)
	}
	return effect.HandOver{Release: r, Adopt: message.Adopt{
		ReleaseID:    r.ID,
		Server:       r.SuccessorServer,
		CoveredUnits: owned,
		Origin:       h.lease.Origin,
		Units:        r.Units,
		Entries:      h.dedup.Entries(r.Units),
		Cutoff:       h.dedup.Cutoff(),
	}}
}

// isRunningUnder reports whether a request that the release covers runs or may still run.
func (h LeaseHolder) isRunningUnder(r release.Release) bool {
	for _, run := range h.running {
		if h.covers(r, run.item) {
			return true
		}
	}
	return false
}

// hasReleasedServer reports whether the whole server has been released.
func (h LeaseHolder) hasReleasedServer() bool {
	for _, r := range h.releases {
		if r.release.WholeServer && r.isDone {
			return true
		}
	}
	return false
}

// isReleased reports whether a release covers the unit u or the key with the given hash; hash 0 matches only releases
// of the whole server.
func (h LeaseHolder) isReleased(hash uint64, u unit.Unit) bool {
	for _, r := range h.releases {
		if r.release.WholeServer || hash != 0 && coversHash(r.release, hash, u) {
			return true
		}
	}
	return false
}

func (h LeaseHolder) covers(r release.Release, item queueitem.QueueItem) bool {
	hash := item.Request.Hash()
	return r.WholeServer || hash != 0 && coversHash(r, hash, h.unitOf(item.Request.Service, hash))
}

// coversHash reports whether the release covers a hash in unit u, either as the unit or as a hot key that leaves its
// hash slot.
func coversHash(r release.Release, hash uint64, u unit.Unit) bool {
	return r.Covers(u) || r.Covers(unit.Unit{Service: u.Service, HashSlot: u.HashSlot, KeyHash: hash})
}

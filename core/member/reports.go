package member

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/lease"
	"redwingsill/core/message"
)

// tick sends a report when it is due and ends handovers that the successor host has not acknowledged in time.
func (m Member) tick(now time.Time) (Member, []effect.Effect) {
	var effects []effect.Effect
	for _, id := range slices.Sorted(maps.Keys(m.handovers)) {
		if h := m.handovers[id]; now.Sub(h.sentAt) > m.timing.SilenceTimeout {
			var more []effect.Effect
			m, more = m.endHandover(h, false)
			effects = append(effects, more...)
		}
	}
	if now.Sub(m.reportedAt) < m.timing.HeartbeatInterval {
		return m, effects
	}
	m, more := m.sendReport(now)
	return m, append(effects, more...)
}

// sendReport sends a report to the leader that the member follows, once the leader has sent a heartbeat.
func (m Member) sendReport(now time.Time) (Member, []effect.Effect) {
	if m.leader == "" || m.round == 0 {
		return m, nil
	}
	m.reportedAt = now
	r := message.Report{
		Term:              m.term,
		Member:            m.name,
		Incarnation:       m.incarnation,
		Round:             m.round,
		SentAt:            now,
		Versions:          m.Versions(),
		LeaseDigest:       lease.Digest(m.Leases(now)),
		CompletedReleases: slices.Sorted(maps.Keys(m.releasedAt)),
		AdoptedReleases:   slices.Sorted(maps.Keys(m.adopted)),
		IsLeaving:         m.isLeaving,
	}
	if m.mustListLeases {
		r.Leases, r.HasLeases = m.remainingLeases(now), true
	}
	if now.Sub(m.refusedAt) < 2*m.timing.SilenceTimeout {
		r.RefusedTerm = m.refusedTerm
	}
	for _, server := range slices.Sorted(maps.Keys(m.requestRates)) {
		r.RequestRates = append(r.RequestRates, m.requestRates[server]...)
	}
	return m, []effect.Effect{effect.Send{To: m.leader, Message: r}}
}

// endHandover completes a release after its handover. If adopted is set, the successor host has acknowledged the dedup
// entries, otherwise the handover has timed out.
func (m Member) endHandover(h handover, adopted bool) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	delete(m.handovers, h.release.ID)
	return m, []effect.Effect{effect.NotifyMember{Event: event.Released{Release: h.release, Adopted: adopted}}}
}

func withID(m map[int64]bool, id int64) map[int64]bool {
	next := maps.Clone(m)
	next[id] = true
	return next
}

// withReleased records the time at which a requested release was done.
func (m Member) withReleased(id int64, now time.Time) Member {
	if _, isDone := m.releasedAt[id]; isDone {
		return m
	}
	m.releasedAt = maps.Clone(m.releasedAt)
	m.releasedAt[id] = now
	return m
}

// withoutAcknowledged drops the completed releases that a heartbeat acknowledges: the heartbeat answers a report sent
// after they were done and no longer requests them. A heartbeat that answers no such report acknowledges nothing.
func (m Member) withoutAcknowledged(hb message.Heartbeat) Member {
	requested := map[int64]bool{}
	for _, r := range hb.Releases {
		requested[r.ID] = true
	}
	released, adopted := maps.Clone(m.releasedAt), maps.Clone(m.adopted)
	for id, doneAt := range m.releasedAt {
		if !requested[id] && hb.Echo.After(doneAt) {
			delete(released, id)
			delete(adopted, id)
		}
	}
	m.releasedAt, m.adopted = released, adopted
	return m
}

// WithHandover starts a handover of dedup entries to the successor host of a release and returns the message to that
// host. If the whole server is released, the member gives up its lease at once.
func (m Member) WithHandover(e effect.HandOver, now time.Time) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	m.handovers[e.Release.ID] = handover{release: e.Release, sentAt: now}
	if e.Release.WholeServer {
		m = m.withoutLease(e.Release)
	}
	adopt := e.Adopt
	adopt.From = m.name
	return m, []effect.Effect{effect.Send{To: e.Release.SuccessorHost, Message: adopt}}
}

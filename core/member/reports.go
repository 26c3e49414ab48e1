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

// tick reports when a report is due, and ends handovers that nobody answered.
func (m Member) tick(now time.Time) (Member, []effect.Effect) {
	var effects []effect.Effect
	for _, id := range slices.Sorted(maps.Keys(m.handovers)) {
		if h := m.handovers[id]; now.Sub(h.sentAt) > m.timing.Silence {
			var more []effect.Effect
			m, more = m.endHandover(h, false)
			effects = append(effects, more...)
		}
	}
	if now.Sub(m.reportedAt) < m.timing.Beat {
		return m, effects
	}
	m, more := m.report(now)
	return m, append(effects, more...)
}

// report sends the arbiter the member's word.
func (m Member) report(now time.Time) (Member, []effect.Effect) {
	if m.arbiter == "" || m.round == 0 {
		return m, nil
	}
	m.reportedAt = now
	r := message.Report{
		Term:              m.term,
		Member:            m.name,
		Incarnation:       m.incarnation,
		Round:             m.round,
		SentAt:            now,
		Versions:          m.Stamp(),
		LeaseDigest:       lease.Digest(m.Permits(now)),
		CompletedReleases: slices.Sorted(maps.Keys(m.released)),
		AdoptedReleases:   slices.Sorted(maps.Keys(m.adopted)),
		IsLeaving:         m.leaving,
	}
	if m.wantsHoldings {
		r.Leases, r.HasLeases = m.holdings(now), true
	}
	if now.Sub(m.contenderAt) < 2*m.timing.Silence {
		r.RefusedTerm = m.contender
	}
	for _, server := range slices.Sorted(maps.Keys(m.heats)) {
		r.RequestRates = append(r.RequestRates, m.heats[server]...)
	}
	return m, []effect.Effect{effect.Send{To: m.arbiter, Message: r}}
}

func (m Member) endHandover(h handover, adopted bool) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	delete(m.handovers, h.order.ID)
	return m, []effect.Effect{effect.NotifyMember{Event: event.Released{Release: h.order, Adopted: adopted}}}
}

func with(m map[int64]bool, id int64) map[int64]bool {
	next := maps.Clone(m)
	next[id] = true
	return next
}

// withReleased returns the member that has done an order of release.
func (m Member) withReleased(id int64, now time.Time) Member {
	if _, isDone := m.released[id]; isDone {
		return m
	}
	m.released = maps.Clone(m.released)
	m.released[id] = now
	return m
}

// withoutAnswered returns the member without the orders that the arbiter no longer gives though it has had a report since
// they were done. A beat that was sent before such a report says nothing about them.
func (m Member) withoutAnswered(b message.Heartbeat) Member {
	asked := map[int64]bool{}
	for _, r := range b.Releases {
		asked[r.ID] = true
	}
	released, adopted := maps.Clone(m.released), maps.Clone(m.adopted)
	for id, doneAt := range m.released {
		if !asked[id] && b.Echo.After(doneAt) {
			delete(released, id)
			delete(adopted, id)
		}
	}
	m.released, m.adopted = released, adopted
	return m
}

// WithHandover returns the member that waits for the heir's answer, and the message to it.
func (m Member) WithHandover(e effect.HandOver, now time.Time) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	m.handovers[e.Release.ID] = handover{order: e.Release, sentAt: now}
	if e.Release.WholeServer {
		m = m.withoutPermit(e.Release)
	}
	adopt := e.Adopt
	adopt.From = m.name
	return m, []effect.Effect{effect.Send{To: e.Release.SuccessorHost, Message: adopt}}
}

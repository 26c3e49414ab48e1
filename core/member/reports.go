package member

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/message"
	"redwingsill/core/permit"
	"redwingsill/core/release"
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
		Term:        m.term,
		Member:      m.name,
		Incarnation: m.incarnation,
		Round:       m.round,
		SentAt:      now,
		Stamp:       m.Stamp(),
		Digest:      permit.Digest(m.Permits(now)),
		Released:    slices.Sorted(maps.Keys(m.released)),
		Adopted:     slices.Sorted(maps.Keys(m.adopted)),
		Leaving:     m.leaving,
	}
	if m.wantsHoldings {
		r.Holdings, r.HasHoldings = m.holdings(now), true
	}
	if now.Sub(m.contenderAt) < 2*m.timing.Silence {
		r.Contender = m.contender
	}
	for _, server := range slices.Sorted(maps.Keys(m.heats)) {
		r.Heats = append(r.Heats, m.heats[server]...)
	}
	return m, []effect.Effect{effect.Send{To: m.arbiter, Message: r}}
}

func (m Member) endHandover(h handover, adopted bool) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	delete(m.handovers, h.order.ID)
	return m, []effect.Effect{effect.Inform{Event: event.Released{Release: h.order, Adopted: adopted}}}
}

func with(m map[int64]bool, id int64) map[int64]bool {
	next := maps.Clone(m)
	next[id] = true
	return next
}

// onlyAsked returns the ids that are still asked for.
func onlyAsked(m map[int64]bool, orders []release.Release) map[int64]bool {
	next := map[int64]bool{}
	for _, r := range orders {
		if m[r.ID] {
			next[r.ID] = true
		}
	}
	return next
}

// WithHandover returns the member that waits for the heir's answer, and the message to it.
func (m Member) WithHandover(e effect.HandOver, now time.Time) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	m.handovers[e.Release.ID] = handover{order: e.Release, sentAt: now}
	if e.Release.All {
		m = m.withoutPermit(e.Release)
	}
	adopt := e.Adopt
	adopt.From = m.name
	return m, []effect.Effect{effect.Send{To: e.Release.Heir, Message: adopt}}
}

// Package member is an entry host's part as a member of its cell: it follows one arbiter, reports to it and holds the
// permits that it is given.
package member

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/heat"
	"redwingsill/core/message"
	"redwingsill/core/permit"
	"redwingsill/core/quorum"
	"redwingsill/core/release"
	"redwingsill/core/stamp"
	"redwingsill/core/timing"
	"redwingsill/core/view"
)

// Member is the state of a member. It is immutable.
type Member struct {
	name        string
	incarnation int64
	timing      timing.Timing
	// silentUntil is when promises of an earlier start of this host can no longer matter.
	silentUntil time.Time
	startedAt   time.Time

	configuration configuration.Configuration
	assignment    assignment.Assignment
	view          view.View

	term               int64
	arbiter            string
	arbiterIncarnation int64
	quorums            quorum.Quorums
	successors         []string
	membersDigest      uint64
	wantsHoldings      bool
	beatAt             time.Time
	reportedAt         time.Time
	// heardAt is when the newest round of any arbiter came. What the member has reported since names no later round.
	heardAt time.Time
	// quietSince is when the newest round of an arbiter before the one it follows came.
	quietSince  time.Time
	round       int64
	contender   int64
	contenderAt time.Time

	permits map[string]permit.Permit
	// gaveUp is the newest grant of each backend server that the host has released.
	gaveUp   map[string]grant.Grant
	released map[int64]bool
	adopted  map[int64]bool
	// handovers are the memories sent to an heir that has not answered yet.
	handovers map[int64]handover
	heats     map[string][]heat.Heat
	leaving   bool
}

// New returns a member that has just started. It stays silent for the length of a permit.
func New(name string, incarnation int64, t timing.Timing, now time.Time) Member {
	return Member{
		name:        name,
		incarnation: incarnation,
		timing:      t,
		startedAt:   now,
		silentUntil: now.Add(t.Permit + t.Drift),
		permits:     map[string]permit.Permit{},
		gaveUp:      map[string]grant.Grant{},
		released:    map[int64]bool{},
		adopted:     map[int64]bool{},
		handovers:   map[int64]handover{},
		heats:       map[string][]heat.Heat{},
	}
}

// Configuration returns the newest configuration that the member has adopted.
func (m Member) Configuration() configuration.Configuration { return m.configuration }

// Assignment returns the assignment in force.
func (m Member) Assignment() assignment.Assignment { return m.assignment }

// View returns the newest view.
func (m Member) View() view.View { return m.view }

// Term returns the term that the member follows.
func (m Member) Term() int64 { return m.term }

// Arbiter returns the host that the member follows.
func (m Member) Arbiter() string { return m.arbiter }

// Quorums returns the members that must agree on the next arbiter.
func (m Member) Quorums() quorum.Quorums { return m.quorums }

// Successors returns the hosts that may follow the arbiter without the platform.
func (m Member) Successors() []string { return m.successors }

// BeatAt returns when the member last had word from its arbiter.
func (m Member) BeatAt() time.Time { return m.beatAt }

// IsSilent reports whether the member has started too lately to make promises.
func (m Member) IsSilent(now time.Time) bool { return now.Before(m.silentUntil) }

// Permits returns the permits that are valid at now, in the order of the servers' names.
func (m Member) Permits(now time.Time) []permit.Permit {
	var valid []permit.Permit
	for _, server := range slices.Sorted(maps.Keys(m.permits)) {
		if p := m.permits[server]; p.IsValid(now) {
			valid = append(valid, p)
		}
	}
	return valid
}

// Stamp returns the versions that the member holds.
func (m Member) Stamp() stamp.Stamp {
	return stamp.Stamp{
		Configuration:     m.configuration.Revision,
		AssignmentTerm:    m.assignment.Term,
		AssignmentVersion: m.assignment.Version,
		ViewTerm:          m.view.Term,
		ViewVersion:       m.view.Version,
		Members:           m.membersDigest,
	}
}

// WithConfiguration returns the member with a configuration, unless its own is as new.
func (m Member) WithConfiguration(c configuration.Configuration) Member {
	if c.Revision > m.configuration.Revision {
		m.configuration = c
	}
	return m
}

// WithSilence returns the member as if it had just started: without promises that it may have outlived.
func (m Member) WithSilence(now time.Time) Member {
	m.silentUntil = now.Add(m.timing.Permit + m.timing.Drift)
	return m
}

// Step returns the member after an event, and what is to be done.
func (m Member) Step(e event.Event, now time.Time) (Member, []effect.Effect) {
	switch e := e.(type) {
	case event.Received:
		return m.receive(e, now)
	case event.Released:
		m.released = with(m.released, e.Release.ID)
		if e.Adopted {
			m.adopted = with(m.adopted, e.Release.ID)
		}
		if e.Release.All {
			m = m.withoutPermit(e.Release.Server)
		}
		return m.report(now)
	case event.Heated:
		m.heats = maps.Clone(m.heats)
		m.heats[e.Server] = e.Heats
	case event.LeaveAsked:
		m.leaving = true
		return m.report(now)
	case event.Ticked:
		return m.tick(now)
	default:
	}
	return m, nil
}

// WithHandover returns the member that waits for the heir's answer, and the message to it.
func (m Member) WithHandover(e effect.HandOver, now time.Time) (Member, []effect.Effect) {
	m.handovers = maps.Clone(m.handovers)
	m.handovers[e.Release.ID] = handover{order: e.Release, sentAt: now}
	if e.Release.All {
		m = m.withoutPermit(e.Release.Server)
	}
	adopt := e.Adopt
	adopt.From = m.name
	return m, []effect.Effect{effect.Send{To: e.Release.Heir, Message: adopt}}
}

func (m Member) receive(e event.Received, now time.Time) (Member, []effect.Effect) {
	switch msg := e.Message.(type) {
	case message.Beat:
		return m.heed(msg, now)
	case message.Follow:
		return m.follow(msg, now)
	case message.Adopt:
		return m, []effect.Effect{
			effect.Instruct{Event: event.MemoryAdopted{Adopt: msg}},
			effect.Send{To: msg.From, Message: message.Adopted{ReleaseID: msg.ReleaseID}},
		}
	case message.Adopted:
		if h, ok := m.handovers[msg.ReleaseID]; ok {
			return m.endHandover(h, true)
		}
	default:
	}
	return m, nil
}

// follow promises to follow a candidate, or refuses.
func (m Member) follow(f message.Follow, now time.Time) (Member, []effect.Effect) {
	if m.IsSilent(now) && !f.First {
		return m, nil
	}
	isSame := f.Term == m.term && f.Candidate == m.arbiter && f.Incarnation == m.arbiterIncarnation
	hasArbiter := now.Sub(m.beatAt) < m.timing.Silence && m.arbiter != f.Candidate
	reply := message.Followed{Term: f.Term, Member: m.name, Incarnation: m.incarnation, Highest: m.term}
	if !isSame && (f.Term <= m.term || hasArbiter) {
		if f.Term > m.term {
			m.contender, m.contenderAt = f.Term, now
		}
		return m, []effect.Effect{effect.Send{To: f.Candidate, Message: reply}}
	}
	reply.Accepted, reply.Quorums = true, m.quorums
	if !isSame {
		m.quietSince = later(m.heardAt, m.startedAt)
	}
	if f.First {
		m.silentUntil = m.startedAt
	}
	reply.Quiet = now.Sub(m.quietSince)
	reply.Holdings = m.Permits(now)
	m.term, m.arbiter, m.arbiterIncarnation, m.round = f.Term, f.Candidate, f.Incarnation, 0
	m.wantsHoldings = true
	own := m.Stamp()
	if own.Configuration > f.Stamp.Configuration {
		reply.Configuration = &m.configuration
	}
	if f.Stamp.HasOlderAssignment(own) {
		reply.Assignment = &m.assignment
	}
	if f.Stamp.HasOlderView(own) {
		reply.View = &m.view
	}
	return m, []effect.Effect{effect.Send{To: f.Candidate, Message: reply}}
}

// heed takes over an arbiter's word.
func (m Member) heed(b message.Beat, now time.Time) (Member, []effect.Effect) {
	isOwn := b.Term == m.term && b.Arbiter == m.arbiter && b.Incarnation == m.arbiterIncarnation
	switch {
	case b.Term < m.term || b.Term == m.term && !isOwn:
		return m, nil
	case b.Term > m.term && m.IsSilent(now):
		return m.takeOver(b), nil
	case b.Resigned:
		m.beatAt = now.Add(-m.timing.Silence)
		return m, nil
	}
	isNew := b.Term > m.term
	m.term, m.arbiter, m.arbiterIncarnation = b.Term, b.Arbiter, b.Incarnation
	m.beatAt, m.heardAt, m.wantsHoldings = now, now, b.WantsHoldings
	if len(b.Quorums) > 0 {
		m.quorums, m.successors, m.membersDigest = b.Quorums, b.Successors, b.Stamp.Members
	}
	m.round = max(b.Round, m.round)
	if isNew {
		m.round = b.Round
	}
	m, effects := m.takeOver(b).holdPermits(b, now)
	for _, r := range b.Releases {
		if !m.released[r.ID] {
			effects = append(effects, effect.Instruct{Event: event.ReleaseAsked{Release: r}})
		}
	}
	m.released, m.adopted = onlyAsked(m.released, b.Releases), onlyAsked(m.adopted, b.Releases)
	if b.Urgent || now.Sub(m.reportedAt) >= m.timing.Beat {
		var more []effect.Effect
		m, more = m.report(now)
		effects = append(effects, more...)
	}
	return m, effects
}

// takeOver adopts newer configurations, assignments and views.
func (m Member) takeOver(b message.Beat) Member {
	if b.Configuration != nil {
		m = m.WithConfiguration(*b.Configuration)
	}
	own := m.Stamp()
	if b.Assignment != nil && own.HasOlderAssignment(b.Stamp) {
		m.assignment = *b.Assignment
	}
	if b.View != nil && b.View.Newer(m.view) {
		m.view = *b.View
	}
	return m
}

// holdPermits renews the permits of a beat. They count from the report that the beat answers.
func (m Member) holdPermits(b message.Beat, now time.Time) (Member, []effect.Effect) {
	permits := b.Permits
	if held := m.Permits(now); b.Renewal > 0 && permit.Digest(held) == b.Digest {
		for _, p := range held {
			p.Validity = b.Renewal
			permits = append(permits, p)
		}
	}
	var effects []effect.Effect
	for _, p := range permits {
		p = p.WithExpiry(b.Echo.Add(p.Validity))
		if old := m.permits[p.Server]; m.gaveUp[p.Server].Compare(p.Grant) >= 0 || old.Grant.Compare(p.Grant) > 0 || !p.IsValid(now) ||
			old.Grant == p.Grant && !p.Expiry.After(old.Expiry) {
			continue
		}
		m.permits = maps.Clone(m.permits)
		m.permits[p.Server] = p
		effects = append(effects, effect.Instruct{Event: event.PermitChanged{Server: p.Server, Permit: p}})
	}
	return m, effects
}

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
		r.Holdings, r.HasHoldings = m.Permits(now), true
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

// withoutPermit returns the member that has given a backend server up and takes no older permit for it again.
func (m Member) withoutPermit(server string) Member {
	held, ok := m.permits[server]
	if !ok {
		return m
	}
	m.gaveUp = maps.Clone(m.gaveUp)
	m.gaveUp[server] = held.Grant
	m.permits = maps.Clone(m.permits)
	delete(m.permits, server)
	return m
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package leader

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/termrecord"
)

// take handles a member's report and answers it.
func (a Leader) take(r message.Report, now time.Time) (Leader, []effect.Effect) {
	p := a.peers[r.Member]
	at, isKnown := a.rounds[r.Round]
	if !isKnown || r.Incarnation < p.report.Incarnation || r.Incarnation == p.report.Incarnation && r.SentAt.Before(p.report.SentAt) {
		return a, nil
	}
	p.report, p.reportedAt = r, now
	if at.After(p.followedAt) {
		p.followedAt = at
	}
	a.peers = maps.Clone(a.peers)
	a.peers[r.Member] = p
	if r.IsLeaving && !a.leaving[r.Member] {
		a.leaving = maps.Clone(a.leaving)
		if a.leaving == nil {
			a.leaving = map[string]bool{}
		}
		a.leaving[r.Member] = true
		a.changed = true
	}
	for _, held := range r.Leases {
		a = a.withClaim(r.Member, r.Incarnation, held, at, now)
	}
	a = a.released(r, now)
	if r.HasLeases {
		a = a.withRefusals(r)
	}
	a = a.withView()
	return a.beat(r.Member, now)
}

// beat sends a member the arbiter's word.
func (a Leader) beat(to string, now time.Time) (Leader, []effect.Effect) {
	a.round++
	a.rounds = maps.Clone(a.rounds)
	a.rounds[a.round] = now
	delete(a.rounds, a.round-maxRounds)
	p := a.peers[to]
	own := a.stamp()
	b := message.Heartbeat{Term: a.term, Leader: a.name, Incarnation: a.incarnation, Round: a.round, Echo: p.report.SentAt,
		WantsReport: a.urgent, Versions: own}
	if p.report.Versions.Members != own.Members {
		b.Quorums, b.Successors = a.quorums, a.successors()
	}
	if p.report.Versions.Configuration < own.Configuration {
		b.Configuration = &a.configuration
	}
	if p.report.Versions.HasOlderAssignment(own) {
		b.Assignment = &a.assignment
	}
	if p.report.Versions.HasOlderView(own) {
		b.View = &a.view
	}
	a, b = a.withPermits(b, to, now)
	for _, id := range slices.Sorted(maps.Keys(a.orders)) {
		if o := a.orders[id]; o.host == to && !o.isDone {
			b.Releases = append(b.Releases, o.release)
		}
	}
	p.beatAt = now
	a.peers = maps.Clone(a.peers)
	a.peers[to] = p
	return a, []effect.Effect{effect.Send{To: to, Message: b}}
}

// withPermits returns a beat that renews the member's permits: by their digest where the member's report agrees, else one
// by one.
func (a Leader) withPermits(b message.Heartbeat, to string, now time.Time) (Leader, message.Heartbeat) {
	a, permits := a.permits(to, now)
	b.LeaseDigest = lease.Digest(permits)
	agrees := b.LeaseDigest == a.peers[to].report.LeaseDigest
	switch {
	case agrees && len(permits) > 0:
		b.RenewedValidity = permits[0].Validity
	case !agrees:
		b.Leases, b.WantsLeases = permits, true
	}
	return a, b
}

// permits returns the permits to send to a member. They last from the time at which a majority followed the arbiter.
func (a Leader) permits(to string, now time.Time) (Leader, []lease.Lease) {
	p := a.peers[to]
	end := a.Since(now).Add(a.timing.Permit)
	if p.report.SentAt.IsZero() || !a.isLive(to, now) || !end.After(now) || a.stamp().HasOlderAssignment(p.report.Versions) {
		return a, nil
	}
	var sent []lease.Lease
	for _, server := range slices.Sorted(maps.Keys(a.holdings)) {
		h := a.holdings[server]
		if h.host != to || h.incarnation != p.report.Incarnation || h.isRefused {
			continue
		}
		if h.sentRound == 0 {
			h.sentRound = a.round
		}
		if h.grant.Term < a.term && a.isOrdered(server) {
			continue
		}
		if h.grant.Term < a.term {
			a.generation++
			h.grant.Term, h.grant.Generation = a.term, a.generation
		}
		h.until = latest(h.until, end.Add(a.timing.Drift))
		a = a.withHolding(server, h)
		sent = append(sent, lease.Lease{Server: server, Grant: h.grant, Origin: h.origin, Validity: end.Sub(p.reportedAt),
			Idle: a.idle(server, h, now)})
	}
	return a, sent
}

// idle returns how long ago a request for any unit of the server may last have run under another steward or at another
// server; 0 where that is not known.
func (a Leader) idle(server string, h holding, now time.Time) time.Duration {
	if h.idleSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(latest(h.idleSince, a.gainedAt[server])))
}

// push sends beats to all members when something has changed, and to silent ones now and then.
func (a Leader) push(now time.Time) (Leader, []effect.Effect) {
	var effects []effect.Effect
	for _, name := range a.quorums.With(a.entryHosts()).Members() {
		p := a.peers[name]
		isSilent := now.Sub(p.reportedAt) > a.timing.Silence && now.Sub(p.beatAt) >= probeInterval
		if a.changed || isSilent {
			var more []effect.Effect
			a, more = a.beat(name, now)
			effects = append(effects, more...)
		}
	}
	a.changed, a.urgent = false, false
	return a, effects
}

// successors returns the hosts that follow in turn, the arbiter's neighbours first.
func (a Leader) successors() []string {
	var names []string
	for _, name := range a.entryHosts() {
		if name != a.name && !a.leaving[name] {
			names = append(names, name)
		}
	}
	return append(names, a.name)
}

// lastReserved returns the highest term that was reserved with this one. Other successors may try those without the lease;
// an arbiter that a majority follows does not make way for them.
func (a Leader) lastReserved() int64 {
	return a.term - (a.term-1)%termrecord.Block + termrecord.Block - 1
}

// contender returns the highest term of a candidate that a member has refused lately.
func (a Leader) contender(now time.Time) int64 {
	highest := int64(0)
	for name, p := range a.peers {
		if a.isLive(name, now) {
			highest = max(highest, p.report.RefusedTerm)
		}
	}
	return highest
}

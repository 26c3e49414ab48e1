package member

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/message"
	"redwingsill/core/permit"
)

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

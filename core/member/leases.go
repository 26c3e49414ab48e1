package member

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/release"
)

// Permits returns the permits that are valid at now, in the order of the servers' names.
func (m Member) Permits(now time.Time) []lease.Lease {
	var valid []lease.Lease
	for _, server := range slices.Sorted(maps.Keys(m.permits)) {
		if p := m.permits[server]; p.IsValid(now) {
			valid = append(valid, p)
		}
	}
	return valid
}

// holdPermits renews the permits of a beat. They count from the report that the beat answers.
func (m Member) holdPermits(b message.Heartbeat, now time.Time) (Member, []effect.Effect) {
	permits := b.Leases
	if held := m.Permits(now); b.RenewedValidity > 0 && lease.Digest(held) == b.LeaseDigest {
		for _, p := range held {
			p.Validity = b.RenewedValidity
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
		effects = append(effects, effect.NotifyLeaseHolder{Event: event.LeaseChanged{Server: p.Server, Lease: p}})
	}
	return m, effects
}

// withoutPermit returns the member that has given a backend server up as an order asked. It takes no permit for it again
// that was sent before the order, even if it arrives later.
func (m Member) withoutPermit(order release.Release) Member {
	m.gaveUp = maps.Clone(m.gaveUp)
	for _, g := range []grant.Grant{order.Grant, m.permits[order.Server].Grant} {
		if g.Compare(m.gaveUp[order.Server]) > 0 {
			m.gaveUp[order.Server] = g
		}
	}
	m.permits = maps.Clone(m.permits)
	delete(m.permits, order.Server)
	return m
}

// holdings returns the valid permits with the validity that is left.
func (m Member) holdings(now time.Time) []lease.Lease {
	held := m.Permits(now)
	for i := range held {
		held[i].Validity = held[i].Expiry.Sub(now)
	}
	return held
}

// HoldsNothing reports whether the member has no valid permit and its arbiter knows that: no handover waits for an
// answer, no release for the arbiter's word, and the newest view names the member the steward of nothing.
func (m Member) HoldsNothing(now time.Time) bool {
	if len(m.Permits(now)) > 0 || len(m.handovers) > 0 || len(m.released) > 0 {
		return false
	}
	for _, host := range m.view.Stewards {
		if host == m.name {
			return false
		}
	}
	return true
}

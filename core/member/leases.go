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

// Leases returns the leases that are valid at now, ordered by server name.
func (m Member) Leases(now time.Time) []lease.Lease {
	var valid []lease.Lease
	for _, server := range slices.Sorted(maps.Keys(m.leases)) {
		if l := m.leases[server]; l.IsValid(now) {
			valid = append(valid, l)
		}
	}
	return valid
}

// withRenewedLeases adopts the leases that a heartbeat grants or renews. Their validity counts from the send time of the
// report that the heartbeat answers. It ignores leases that this host has released, that are older than the one held,
// that have expired, or that do not extend the one held.
func (m Member) withRenewedLeases(hb message.Heartbeat, now time.Time) (Member, []effect.Effect) {
	renewed := hb.Leases
	if held := m.Leases(now); hb.RenewedValidity > 0 && lease.Digest(held) == hb.LeaseDigest {
		for _, l := range held {
			l.Validity = hb.RenewedValidity
			renewed = append(renewed, l)
		}
	}
	var effects []effect.Effect
	for _, l := range renewed {
		l = l.WithExpiry(hb.Echo.Add(l.Validity))
		if old := m.leases[l.Server]; m.releasedGrants[l.Server].Compare(l.Grant) >= 0 || old.Grant.Compare(l.Grant) > 0 ||
			!l.IsValid(now) || old.Grant == l.Grant && !l.Expiry.After(old.Expiry) {
			continue
		}
		m.leases = maps.Clone(m.leases)
		m.leases[l.Server] = l
		effects = append(effects, effect.NotifyLeaseHolder{Event: event.LeaseChanged{Server: l.Server, Lease: l}})
	}
	return m, effects
}

// withoutLease returns the member after it has released a backend server on request. It records the grant, so that it
// rejects a lease that was sent before the request and arrives after it.
func (m Member) withoutLease(request release.Release) Member {
	m.releasedGrants = maps.Clone(m.releasedGrants)
	for _, g := range []grant.Grant{request.Grant, m.leases[request.Server].Grant} {
		if g.Compare(m.releasedGrants[request.Server]) > 0 {
			m.releasedGrants[request.Server] = g
		}
	}
	m.leases = maps.Clone(m.leases)
	delete(m.leases, request.Server)
	return m
}

// remainingLeases returns the valid leases with the validity that is left at now.
func (m Member) remainingLeases(now time.Time) []lease.Lease {
	held := m.Leases(now)
	for i := range held {
		held[i].Validity = held[i].Expiry.Sub(now)
	}
	return held
}

// IsDrained reports whether the member holds no valid lease and its leader knows this: no handover and no release is
// unacknowledged, and the newest view names the member as the lease holder of no server.
func (m Member) IsDrained(now time.Time) bool {
	if len(m.Leases(now)) > 0 || len(m.handovers) > 0 || len(m.releasedAt) > 0 {
		return false
	}
	for _, host := range m.view.LeaseHolders {
		if host == m.name {
			return false
		}
	}
	return true
}

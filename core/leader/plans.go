package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/balance"
	"redwingsill/core/effect"
	"redwingsill/core/release"
	"redwingsill/core/requestrate"
	"redwingsill/core/unit"
)

// updatePlan plans a new assignment if the one in force does not fit the configuration, the usable servers or the load.
// While hasFencedWrites is not set, it also plans one that moves nothing, because its write fences earlier leaders.
func (l Leader) updatePlan(now time.Time) Leader {
	if !l.isAssignmentRead || l.plan != nil && l.plan.isWriting {
		return l
	}
	b := balance.Balance{
		Configuration: l.configuration,
		DataCentre:    l.dataCentre,
		Usable:        l.usableServers(now),
		RequestRates:  l.requestRates(now),
		MayMove:       l.canRebalance(now),
	}
	if l.plan != nil && !l.isPlanOutdated(b.Usable) {
		return l
	}
	base := l.assignment
	if l.plan != nil {
		base = l.plan.next
	}
	next := b.Plan(base)
	if l.hasFencedWrites && len(l.assignment.MovedUnits(next)) == 0 && !assignsUnownedUnits(l.assignment, next) {
		l.plan = nil
		return l.withoutUnitReleases()
	}
	return l.withPlan(next, now)
}

// withPlan starts the move to an assignment. Units already released for an earlier plan stay released.
func (l Leader) withPlan(next assignment.Assignment, now time.Time) Leader {
	l.plan = &plan{next: next, moves: l.assignment.MovedUnits(next)}
	l.lastMoveAt = now
	return l.requestUnitReleases()
}

// requestUnitReleases asks the present lease holders for the releases that the plan needs and that are not pending yet.
func (l Leader) requestUnitReleases() Leader {
	// byPair gives the units that move from the server pair[0] to the server pair[1].
	byPair := map[[2]string][]unit.Unit{}
	for u, from := range l.plan.moves {
		if l.leases[from].isFree() || l.isReleasingUnit(u) || l.isReleasingServer(from) {
			continue
		}
		pair := [2]string{from, l.plan.next.ServingServer(u)}
		byPair[pair] = append(byPair[pair], u)
	}
	pairs := slices.SortedFunc(maps.Keys(byPair), func(x, y [2]string) int {
		return strings.Compare(x[0]+"/"+x[1], y[0]+"/"+y[1])
	})
	for _, pair := range pairs {
		units := byPair[pair]
		slices.SortFunc(units, func(x, y unit.Unit) int { return strings.Compare(x.String(), y.String()) })
		l = l.requestRelease(l.leases[pair[0]].holder, release.Release{Server: pair[0], Units: units, SuccessorServer: pair[1],
			SuccessorHost: l.leases[pair[1]].holder})
	}
	return l
}

// writePlan writes the plan's assignment to the platform once no host can be serving the units that move.
func (l Leader) writePlan(now time.Time) (Leader, []effect.Effect) {
	if l.plan == nil || l.plan.isWriting || !l.isAssignmentRead || now.Before(l.platformRetryAt) {
		return l, nil
	}
	l = l.requestUnitReleases()
	for u, from := range l.plan.moves {
		if !l.isUnserved(u, from, now) {
			return l, nil
		}
	}
	updated := *l.plan
	updated.isWriting = true
	updated.next.Version = max(updated.next.Version, l.assignment.Version)
	updated.next = updated.next.WithWrite(l.term, fmt.Sprintf("%s-%d-%d", l.name, l.incarnation, l.callID))
	l.plan = &updated
	return l.writeAssignment(now)
}

// isUnserved reports whether no host can be serving a unit at its present owner: the lease holder has released the unit
// or the whole server, or there is no holder and a majority has followed this leader since one clock skew after the
// last lease expired.
func (l Leader) isUnserved(u unit.Unit, from string, now time.Time) bool {
	state, isKnown := l.leases[from]
	if isKnown && !state.isFree() {
		return l.isUnitReleased(u, state.holder)
	}
	return l.MajoritySince(now).After(later(state.expiry, l.earlierLeasesEnd).Add(l.timing.ClockSkew)) || isKnown && state.isReleased
}

// isUnitReleased reports whether a host has reported the release of a unit as done.
func (l Leader) isUnitReleased(u unit.Unit, host string) bool {
	for _, pending := range l.releases {
		if !pending.release.WholeServer && pending.isDone && pending.host == host && pending.release.Covers(u) {
			return true
		}
	}
	return false
}

// isWritingMovesFrom reports whether a plan that moves units away from a server may be taking effect at the platform.
func (l Leader) isWritingMovesFrom(server string) bool {
	if l.plan == nil || !l.plan.isWriting {
		return false
	}
	for _, from := range l.plan.moves {
		if from == server {
			return true
		}
	}
	return false
}

// withPublishedPlan puts the plan's assignment in force after the platform has stored it.
func (l Leader) withPublishedPlan(now time.Time) Leader {
	l.unitsGainedAt = maps.Clone(l.unitsGainedAt)
	for u := range l.plan.moves {
		l.unitsGainedAt[l.plan.next.ServingServer(u)] = now
	}
	l.assignment = l.plan.next
	l.plan = nil
	l.hasFencedWrites = true
	l.lastMoveAt = now
	l.mustBroadcast = true
	return l.withoutUnitReleases()
}

// withoutUnitReleases drops all releases of units, pending and done.
func (l Leader) withoutUnitReleases() Leader {
	l.releases = maps.Clone(l.releases)
	maps.DeleteFunc(l.releases, func(_ int64, pending pendingRelease) bool { return !pending.release.WholeServer })
	return l
}

// isReleasingUnit reports whether the present lease holder has been asked to release a unit.
func (l Leader) isReleasingUnit(u unit.Unit) bool {
	for _, pending := range l.releases {
		if !pending.release.WholeServer && pending.release.Covers(u) && l.leases[pending.release.Server].holder == pending.host {
			return true
		}
	}
	return false
}

// usableServers returns the backend servers that may own units. While the platform does not answer, leaving servers
// keep their units, because no new owner could be recorded for the units that they release.
func (l Leader) usableServers(now time.Time) map[string]bool {
	usable := map[string]bool{}
	for _, s := range l.servers() {
		if !l.down[s.Name] && (!l.leaving[s.Name] || !l.isPlatformReachable(now)) {
			usable[s.Name] = true
		}
	}
	return usable
}

// isPlanOutdated reports whether the plan gives units to a server that is no longer usable, or leaves units there.
func (l Leader) isPlanOutdated(usable map[string]bool) bool {
	for u := range l.assignment.MovedUnits(l.plan.next) {
		if to := l.plan.next.OwnerOfUnit(u); to != "" && !usable[to] {
			return true
		}
	}
	for _, s := range l.servers() {
		if !usable[s.Name] && len(l.plan.next.UnitsOf(s.Name)) > 0 {
			return true
		}
	}
	return false
}

// canRebalance reports whether moves that only balance load are due and safe: this leader has written the assignment,
// one silence timeout and the longest move interval of the services have passed since the last move, the platform
// answers, every usable server has a live lease holder, and no release of a whole server is pending.
func (l Leader) canRebalance(now time.Time) bool {
	interval := l.timing.SilenceTimeout
	for service := range l.configuration.Homes {
		interval = max(interval, l.configuration.PolicyOf(service).MoveInterval.Std())
	}
	if !l.hasFencedWrites || now.Sub(l.lastMoveAt) < interval || !l.isPlatformReachable(now) {
		return false
	}
	for server := range l.usableServers(now) {
		if state := l.leases[server]; state.isFree() || !l.isHolderAlive(state, now) {
			return false
		}
	}
	return !l.isReleasingAnyServer()
}

// isPlatformReachable reports whether the platform has answered within two renewal intervals of the store lease.
func (l Leader) isPlatformReachable(now time.Time) bool {
	return now.Sub(l.platformAnsweredAt) <= 2*l.timing.StoreLeaseRenewal
}

// requestRates returns the request rates that the live members have reported.
func (l Leader) requestRates(now time.Time) []requestrate.RequestRate {
	var all []requestrate.RequestRate
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if l.isLive(name, now) {
			all = append(all, l.members[name].report.RequestRates...)
		}
	}
	return all
}

// assignsUnownedUnits reports whether next gives an owner to a hash slot that has none in old.
func assignsUnownedUnits(old, next assignment.Assignment) bool {
	for service, hashSlots := range next.HashSlots {
		for hashSlot, o := range hashSlots {
			u := unit.Unit{Service: service, HashSlot: hashSlot}
			if o.Server != "" && old.OwnerOfUnit(u) == "" {
				return true
			}
		}
	}
	return false
}

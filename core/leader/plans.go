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

// think makes a plan where the assignment in force is not what it should be.
func (a Leader) think(now time.Time) Leader {
	if !a.isRead || a.plan != nil && a.plan.isWriting {
		return a
	}
	b := balance.Balance{
		Configuration: a.configuration,
		DataCentre:    a.dataCentre,
		Usable:        a.usable(now),
		RequestRates:  a.heats(now),
		MayMove:       a.mayMove(now),
	}
	if a.plan != nil && !a.isOutdated(b.Usable) {
		return a
	}
	target := a.assignment
	if a.plan != nil {
		target = a.plan.next
	}
	next := b.Plan(target)
	if a.isFenced && len(a.assignment.MovedUnits(next)) == 0 && !gains(a.assignment, next) {
		a.plan = nil
		return a.withoutUnitOrders()
	}
	return a.begin(next, now)
}

// begin makes next the plan. Units released for an earlier plan stay released.
func (a Leader) begin(next assignment.Assignment, now time.Time) Leader {
	a.plan = &plan{next: next, moves: a.assignment.MovedUnits(next)}
	a.movedAt = now
	return a.orderMoves()
}

// orderMoves orders the releases that the plan needs and that have not been ordered of the present stewards.
func (a Leader) orderMoves() Leader {
	byPair := map[[2]string][]unit.Unit{}
	for u, from := range a.plan.moves {
		if a.holdings[from].isFree() || a.isUnitOrdered(u) || a.isOrdered(from) {
			continue
		}
		pair := [2]string{from, a.plan.next.ServingServer(u)}
		byPair[pair] = append(byPair[pair], u)
	}
	pairs := slices.SortedFunc(maps.Keys(byPair), func(x, y [2]string) int {
		return strings.Compare(x[0]+"/"+x[1], y[0]+"/"+y[1])
	})
	for _, pair := range pairs {
		units := byPair[pair]
		slices.SortFunc(units, func(x, y unit.Unit) int { return strings.Compare(x.String(), y.String()) })
		a = a.order(a.holdings[pair[0]].host, release.Release{Server: pair[0], Units: units, SuccessorServer: pair[1],
			SuccessorHost: a.holdings[pair[1]].host})
	}
	return a
}

// advance writes the plan to the platform once nobody serves the units that move.
func (a Leader) advance(now time.Time) (Leader, []effect.Effect) {
	if a.plan == nil || a.plan.isWriting || !a.isRead || now.Before(a.retryAt) {
		return a, nil
	}
	a = a.orderMoves()
	for u, from := range a.plan.moves {
		if !a.isUnserved(u, from, now) {
			return a, nil
		}
	}
	next := *a.plan
	next.isWriting = true
	next.next.Version = max(next.next.Version, a.assignment.Version)
	next.next = next.next.WithWrite(a.term, fmt.Sprintf("%s-%d-%d", a.name, a.incarnation, a.sequence))
	a.plan = &next
	return a.writeAssignment(now)
}

// isUnserved reports whether nobody may be serving a unit at its present owner: its steward has released it, or there
// is none and a majority has followed this arbiter since the last permit ended.
func (a Leader) isUnserved(u unit.Unit, from string, now time.Time) bool {
	h, known := a.holdings[from]
	if known && !h.isFree() {
		return a.isUnitReleased(u, h.host)
	}
	return a.Since(now).After(latest(h.until, a.permitsEnd).Add(a.timing.Skew)) || known && h.isReleased
}

func (a Leader) isUnitReleased(u unit.Unit, host string) bool {
	for _, o := range a.orders {
		if !o.release.WholeServer && o.isDone && o.host == host && o.release.Covers(u) {
			return true
		}
	}
	return false
}

// isWritingMovesFrom reports whether a plan that moves units away from a server may be taking effect.
func (a Leader) isWritingMovesFrom(server string) bool {
	if a.plan == nil || !a.plan.isWriting {
		return false
	}
	for _, from := range a.plan.moves {
		if from == server {
			return true
		}
	}
	return false
}

// published puts a plan that the platform has kept in force.
func (a Leader) published(now time.Time) Leader {
	a.gainedAt = maps.Clone(a.gainedAt)
	for u := range a.plan.moves {
		a.gainedAt[a.plan.next.ServingServer(u)] = now
	}
	a.assignment = a.plan.next
	a.plan = nil
	a.isFenced = true
	a.movedAt = now
	a.changed = true
	return a.withoutUnitOrders()
}

func (a Leader) withoutUnitOrders() Leader {
	a.orders = maps.Clone(a.orders)
	maps.DeleteFunc(a.orders, func(_ int64, o order) bool { return !o.release.WholeServer })
	return a
}

func (a Leader) isUnitOrdered(u unit.Unit) bool {
	for _, o := range a.orders {
		if !o.release.WholeServer && o.release.Covers(u) && a.holdings[o.release.Server].host == o.host {
			return true
		}
	}
	return false
}

// usable returns the backend servers that may own units. While the platform does not answer, those that are leaving
// keep theirs: what they released could not be given to another.
func (a Leader) usable(now time.Time) map[string]bool {
	usable := map[string]bool{}
	for _, s := range a.servers() {
		if !a.down[s.Name] && (!a.leaving[s.Name] || !a.isPlatformFresh(now)) {
			usable[s.Name] = true
		}
	}
	return usable
}

// isOutdated reports whether the plan gives a unit to a server that is no longer usable.
func (a Leader) isOutdated(usable map[string]bool) bool {
	for u := range a.assignment.MovedUnits(a.plan.next) {
		if to := a.plan.next.OwnerOfUnit(u); to != "" && !usable[to] {
			return true
		}
	}
	for _, s := range a.servers() {
		if !usable[s.Name] && len(a.plan.next.UnitsOf(s.Name)) > 0 {
			return true
		}
	}
	return false
}

// mayMove reports whether moves for balance are due and safe: the platform answers, and no steward is missing.
func (a Leader) mayMove(now time.Time) bool {
	interval := a.timing.Silence
	for service := range a.configuration.Homes {
		interval = max(interval, a.configuration.PolicyOf(service).MoveInterval.Std())
	}
	if !a.isFenced || now.Sub(a.movedAt) < interval || !a.isPlatformFresh(now) {
		return false
	}
	for server := range a.usable(now) {
		if h := a.holdings[server]; h.isFree() || !a.holds(h, now) {
			return false
		}
	}
	return !a.hasWholeOrders()
}

func (a Leader) isPlatformFresh(now time.Time) bool {
	return now.Sub(a.platformAt) <= 2*a.timing.LeaseRenewal
}

func (a Leader) heats(now time.Time) []requestrate.RequestRate {
	var all []requestrate.RequestRate
	for _, name := range slices.Sorted(maps.Keys(a.peers)) {
		if a.isLive(name, now) {
			all = append(all, a.peers[name].report.RequestRates...)
		}
	}
	return all
}

// gains reports whether units without an owner have one in next.
func gains(old, next assignment.Assignment) bool {
	for service, slots := range next.Slots {
		for slot, o := range slots {
			u := unit.Unit{Service: service, Slot: slot}
			if o.Server != "" && old.OwnerOfUnit(u) == "" {
				return true
			}
		}
	}
	return false
}

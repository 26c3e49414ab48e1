// Package balance decides which backend server should own which unit.
package balance

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/requestrate"
	"redwingsill/core/unit"
)

// improvement is the gain, in multiples of a key's rate, below which a hot key stays where it is.
const improvement = 1.2

// Balance is the inputs of a plan.
type Balance struct {
	Configuration configuration.Configuration
	DataCentre    string
	// Usable lists the backend servers that may own units.
	Usable map[string]bool
	// Heats are the hottest keys; those with KeyHash 0 give the whole rate of a server.
	Heats []requestrate.RequestRate
	// MayMove allows moves for balance beside those that a loss asks for.
	MayMove bool
}

// Plan returns the assignment that should follow a. It moves the units of servers that are not usable, and as few
// others as the ownership policies allow.
func (b Balance) Plan(a assignment.Assignment) assignment.Assignment {
	for _, service := range slices.Sorted(maps.Keys(b.Configuration.Homes)) {
		a = b.planService(a, service)
	}
	return a
}

func (b Balance) planService(a assignment.Assignment, service string) assignment.Assignment {
	homes := b.Configuration.Homes[service]
	a = a.WithSlots(service, len(homes))
	owned := map[string]int{}
	for _, server := range b.Configuration.ServersOf(service, b.DataCentre) {
		if b.Usable[server.Name] {
			owned[server.Name] = 0
		}
	}
	if len(owned) == 0 {
		return a
	}
	var orphans []unit.Unit
	for slot, home := range homes {
		u := unit.Unit{Service: service, Slot: slot}
		server := a.OwnerOfUnit(u)
		_, usable := owned[server]
		switch {
		case home != b.DataCentre:
		case usable:
			owned[server]++
		default:
			orphans = append(orphans, u)
		}
	}
	for _, u := range orphans {
		server := least(owned, u)
		owned[server]++
		a = a.WithOwner(u, server)
	}
	a = b.rescueHotKeys(a, service, owned)
	if !b.MayMove {
		return a
	}
	budget := b.Configuration.PolicyOf(service).MaxMoves
	a, budget = level(a, service, owned, budget)
	return b.moveHotKeys(a, service, owned, budget)
}

// rescueHotKeys gives the hot keys of servers that are not usable back to their slots.
func (b Balance) rescueHotKeys(a assignment.Assignment, service string, owned map[string]int) assignment.Assignment {
	for _, hash := range slices.Sorted(maps.Keys(a.HotKeys[service])) {
		u := a.UnitOf(service, hash)
		if _, usable := owned[a.OwnerOfUnit(u)]; !usable {
			a = a.WithOwner(u, "")
		}
	}
	return a
}

// level moves slots from the server with the most to the one with the fewest, within the budget.
func level(a assignment.Assignment, service string, owned map[string]int, budget int) (assignment.Assignment, int) {
	for ; budget > 0; budget-- {
		most, fewest := extremes(owned)
		if owned[most]-owned[fewest] < 2 {
			break
		}
		u, ok := anySlotOf(a, service, most, fewest)
		if !ok {
			break
		}
		a = a.WithOwner(u, fewest)
		owned[most]--
		owned[fewest]++
	}
	return a, budget
}

// moveHotKeys gives hot keys owners of their own where that evens out the rates.
func (b Balance) moveHotKeys(a assignment.Assignment, service string, owned map[string]int, budget int) assignment.Assignment {
	limit := b.Configuration.PolicyOf(service).HotKeys
	rates := map[string]float64{}
	for server := range owned {
		rates[server] = 0
	}
	var keys []requestrate.RequestRate
	for _, h := range b.Heats {
		if _, known := rates[h.Server]; !known || h.Service != service {
			continue
		}
		if h.KeyHash == 0 {
			rates[h.Server] += h.Rate
		} else {
			keys = append(keys, h)
		}
	}
	slices.SortStableFunc(keys, func(x, y requestrate.RequestRate) int { return compareRates(y.Rate, x.Rate) })
	for _, key := range keys {
		from, _ := a.OwnerOf(service, key.KeyHash)
		to := coolest(rates)
		if budget == 0 || from != key.Server || from == to || rates[from]-rates[to] < improvement*key.Rate {
			continue
		}
		u := a.UnitOf(service, key.KeyHash)
		if !u.IsHotKey() && len(a.HotKeys[service]) >= limit {
			continue
		}
		u.Hash = key.KeyHash
		a = a.WithOwner(u, to)
		rates[from] -= key.Rate
		rates[to] += key.Rate
		budget--
	}
	return a
}

// least returns the server with the fewest units; among equals the highest rendezvous score for u.
func least(owned map[string]int, u unit.Unit) string {
	best, bestScore := "", uint64(0)
	for server, n := range owned {
		score := xxhash.Sum64String(u.Service + "/" + strconv.Itoa(u.Slot) + "/" + server)
		if best == "" || n < owned[best] || n == owned[best] && score > bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

func extremes(owned map[string]int) (most, fewest string) {
	for _, server := range slices.Sorted(maps.Keys(owned)) {
		if most == "" || owned[server] > owned[most] {
			most = server
		}
		if fewest == "" || owned[server] < owned[fewest] {
			fewest = server
		}
	}
	return most, fewest
}

// anySlotOf returns the slot of one server whose rendezvous score for another is the highest.
func anySlotOf(a assignment.Assignment, service, server, target string) (unit.Unit, bool) {
	best, bestScore, found := unit.Unit{}, uint64(0), false
	for slot := range a.Slots[service] {
		u := unit.Unit{Service: service, Slot: slot}
		if a.OwnerOfUnit(u) != server {
			continue
		}
		score := xxhash.Sum64String(service + "/" + strconv.Itoa(slot) + "/" + target)
		if !found || score > bestScore {
			best, bestScore, found = u, score, true
		}
	}
	return best, found
}

func coolest(rates map[string]float64) string {
	best := ""
	for _, server := range slices.Sorted(maps.Keys(rates)) {
		if best == "" || rates[server] < rates[best] {
			best = server
		}
	}
	return best
}

func compareRates(x, y float64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

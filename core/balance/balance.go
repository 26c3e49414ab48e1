// Package balance plans which backend server owns which unit.
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

// minImprovement is the smallest rate difference, in multiples of a key's rate, for which a hot key moves.
const minImprovement = 1.2

// Balance holds the inputs of a plan.
type Balance struct {
	Configuration configuration.Configuration
	DataCentre    string
	// Usable is the set of backend servers that may own units.
	Usable map[string]bool
	// RequestRates are the rates of the hottest keys; those with KeyHash 0 are the total rates of servers.
	RequestRates []requestrate.RequestRate
	// MayMove allows moves for balance in addition to those after a loss.
	MayMove bool
}

// Plan returns the assignment that should follow a. It moves the units of unusable servers and, for balance, at most as
// many others as the ownership policies allow.
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
	var unownedSlots []unit.Unit
	for slot, home := range homes {
		u := unit.Unit{Service: service, Slot: slot}
		server := a.OwnerOfUnit(u)
		_, usable := owned[server]
		switch {
		case home != b.DataCentre:
		case usable:
			owned[server]++
		default:
			unownedSlots = append(unownedSlots, u)
		}
	}
	for _, u := range unownedSlots {
		server := serverWithFewestUnits(owned, u)
		owned[server]++
		a = a.WithOwner(u, server)
	}
	a = b.returnHotKeys(a, service, owned)
	if !b.MayMove {
		return a
	}
	budget := b.Configuration.PolicyOf(service).MaxMoves
	a, budget = levelSlots(a, service, owned, budget)
	return b.moveHotKeys(a, service, owned, budget)
}

// returnHotKeys returns the hot keys of unusable servers to their slots.
func (b Balance) returnHotKeys(a assignment.Assignment, service string, owned map[string]int) assignment.Assignment {
	for _, hash := range slices.Sorted(maps.Keys(a.HotKeys[service])) {
		u := a.UnitOf(service, hash)
		if _, usable := owned[a.OwnerOfUnit(u)]; !usable {
			a = a.WithOwner(u, "")
		}
	}
	return a
}

// levelSlots moves slots from the server with the most slots to the one with the fewest, within the budget.
func levelSlots(a assignment.Assignment, service string, owned map[string]int, budget int) (assignment.Assignment, int) {
	for ; budget > 0; budget-- {
		most, fewest := serversWithMostAndFewest(owned)
		if owned[most]-owned[fewest] < 2 {
			break
		}
		u, ok := slotToMove(a, service, most, fewest)
		if !ok {
			break
		}
		a = a.WithOwner(u, fewest)
		owned[most]--
		owned[fewest]++
	}
	return a, budget
}

// moveHotKeys moves hot keys to the server with the lowest rate if that evens out the rates.
func (b Balance) moveHotKeys(a assignment.Assignment, service string, owned map[string]int, budget int) assignment.Assignment {
	limit := b.Configuration.PolicyOf(service).HotKeys
	rates := map[string]float64{}
	for server := range owned {
		rates[server] = 0
	}
	var keys []requestrate.RequestRate
	for _, rate := range b.RequestRates {
		if _, known := rates[rate.Server]; !known || rate.Service != service {
			continue
		}
		if rate.KeyHash == 0 {
			rates[rate.Server] += rate.Rate
		} else {
			keys = append(keys, rate)
		}
	}
	slices.SortStableFunc(keys, func(x, y requestrate.RequestRate) int { return compareRates(y.Rate, x.Rate) })
	for _, key := range keys {
		from, _ := a.OwnerOfHash(service, key.KeyHash)
		to := serverWithLowestRate(rates)
		if budget == 0 || from != key.Server || from == to || rates[from]-rates[to] < minImprovement*key.Rate {
			continue
		}
		u := a.UnitOf(service, key.KeyHash)
		if !u.IsHotKey() && len(a.HotKeys[service]) >= limit {
			continue
		}
		u.KeyHash = key.KeyHash
		a = a.WithOwner(u, to)
		rates[from] -= key.Rate
		rates[to] += key.Rate
		budget--
	}
	return a
}

// serverWithFewestUnits returns the server with the fewest units, and among equals the one with the highest rendezvous
// score for u.
func serverWithFewestUnits(owned map[string]int, u unit.Unit) string {
	best, bestScore := "", uint64(0)
	for server, n := range owned {
		score := xxhash.Sum64String(u.Service + "/" + strconv.Itoa(u.Slot) + "/" + server)
		if best == "" || n < owned[best] || n == owned[best] && score > bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

func serversWithMostAndFewest(owned map[string]int) (most, fewest string) {
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

// slotToMove returns the slot of server with the highest rendezvous score for target.
func slotToMove(a assignment.Assignment, service, server, target string) (unit.Unit, bool) {
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

func serverWithLowestRate(rates map[string]float64) string {
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

// Package balance plans which backend server owns which unit. A unit is a hash slot or a hot key of a service.
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

// minRateDifference is the smallest difference between the rates of two servers, in multiples of a hot key's rate, for
// which the key moves from the server with the higher rate to the other. Above 1, the move lowers the higher of the two
// rates.
const minRateDifference = 1.2

// Balance holds the inputs of a plan.
type Balance struct {
	Configuration configuration.Configuration
	// DataCentre is the data centre of the planned servers and the home of the planned hash slots.
	DataCentre string
	// Usable is the set of backend servers that may own units.
	Usable map[string]bool
	// RequestRates are the rates of the hottest keys; those with KeyHash 0 are the total rates of servers.
	RequestRates []requestrate.RequestRate
	// MayMove allows moves that only balance the servers, in addition to those from unusable servers.
	MayMove bool
}

// Plan returns the assignment that should follow a. It moves the units of unusable servers and, if MayMove is set, at
// most as many others as the ownership policies allow.
func (b Balance) Plan(a assignment.Assignment) assignment.Assignment {
	for _, service := range slices.Sorted(maps.Keys(b.Configuration.Homes)) {
		a = b.planService(a, service)
	}
	return a
}

// planService returns the assignment that should follow a in the units of one service.
func (b Balance) planService(a assignment.Assignment, service string) assignment.Assignment {
	homes := b.Configuration.Homes[service]
	a = a.WithHashSlots(service, len(homes))
	hashSlotCounts := map[string]int{}
	for _, server := range b.Configuration.ServersOf(service, b.DataCentre) {
		if b.Usable[server.Name] {
			hashSlotCounts[server.Name] = 0
		}
	}
	if len(hashSlotCounts) == 0 {
		return a
	}
	var unownedHashSlots []unit.Unit
	for hashSlot, home := range homes {
		u := unit.Unit{Service: service, HashSlot: hashSlot}
		server := a.OwnerOfUnit(u)
		_, usable := hashSlotCounts[server]
		switch {
		case home != b.DataCentre:
		case usable:
			hashSlotCounts[server]++
		default:
			unownedHashSlots = append(unownedHashSlots, u)
		}
	}
	for _, u := range unownedHashSlots {
		server := serverWithFewestHashSlots(hashSlotCounts, u)
		hashSlotCounts[server]++
		a = a.WithOwner(u, server)
	}
	a = b.returnHotKeys(a, service, hashSlotCounts)
	if !b.MayMove {
		return a
	}
	budget := b.Configuration.PolicyOf(service).MaxMoves
	a, budget = levelHashSlots(a, service, hashSlotCounts, budget)
	return b.moveHotKeys(a, service, hashSlotCounts, budget)
}

// returnHotKeys gives the hot keys of unusable servers back to the owners of their hash slots.
func (b Balance) returnHotKeys(a assignment.Assignment, service string, hashSlotCounts map[string]int) assignment.Assignment {
	for _, hash := range slices.Sorted(maps.Keys(a.HotKeys[service])) {
		u := a.UnitOf(service, hash)
		if _, usable := hashSlotCounts[a.OwnerOfUnit(u)]; !usable {
			a = a.WithOwner(u, "")
		}
	}
	return a
}

// levelHashSlots moves hash slots from the server with the most to the one with the fewest, until the numbers differ by
// less than 2 or the budget of moves is used up. It also returns the rest of the budget.
func levelHashSlots(a assignment.Assignment, service string, hashSlotCounts map[string]int, budget int) (assignment.Assignment, int) {
	for ; budget > 0; budget-- {
		most, fewest := serversWithMostAndFewestHashSlots(hashSlotCounts)
		if hashSlotCounts[most]-hashSlotCounts[fewest] < 2 {
			break
		}
		u, ok := hashSlotToMove(a, service, most, fewest)
		if !ok {
			break
		}
		a = a.WithOwner(u, fewest)
		hashSlotCounts[most]--
		hashSlotCounts[fewest]++
	}
	return a, budget
}

// moveHotKeys moves hot keys to the server with the lowest rate if that evens out the rates, within the budget of moves
// and the policy's limit on hot keys.
func (b Balance) moveHotKeys(a assignment.Assignment, service string, hashSlotCounts map[string]int, budget int) assignment.Assignment {
	limit := b.Configuration.PolicyOf(service).HotKeys
	rates := map[string]float64{}
	for server := range hashSlotCounts {
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
		if budget == 0 || from != key.Server || from == to || rates[from]-rates[to] < minRateDifference*key.Rate {
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

// serverWithFewestHashSlots returns the server with the fewest hash slots, and among equals the one with the highest
// rendezvous score for u.
func serverWithFewestHashSlots(hashSlotCounts map[string]int, u unit.Unit) string {
	best, bestScore := "", uint64(0)
	for server, n := range hashSlotCounts {
		score := xxhash.Sum64String(u.Service + "/" + strconv.Itoa(u.HashSlot) + "/" + server)
		if best == "" || n < hashSlotCounts[best] || n == hashSlotCounts[best] && score > bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

func serversWithMostAndFewestHashSlots(hashSlotCounts map[string]int) (most, fewest string) {
	for _, server := range slices.Sorted(maps.Keys(hashSlotCounts)) {
		if most == "" || hashSlotCounts[server] > hashSlotCounts[most] {
			most = server
		}
		if fewest == "" || hashSlotCounts[server] < hashSlotCounts[fewest] {
			fewest = server
		}
	}
	return most, fewest
}

// hashSlotToMove returns the hash slot of server with the highest rendezvous score for target, and whether server has
// any.
func hashSlotToMove(a assignment.Assignment, service, server, target string) (unit.Unit, bool) {
	best, bestScore, found := unit.Unit{}, uint64(0), false
	for hashSlot := range a.HashSlots[service] {
		u := unit.Unit{Service: service, HashSlot: hashSlot}
		if a.OwnerOfUnit(u) != server {
			continue
		}
		score := xxhash.Sum64String(service + "/" + strconv.Itoa(hashSlot) + "/" + target)
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

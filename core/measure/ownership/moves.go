package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"redwingsill/core/assignment"
	"redwingsill/core/balance"
	"redwingsill/core/example"
	"redwingsill/core/requestrate"
	"redwingsill/core/unit"
)

const (
	keyCount = 20_000
	// ringPointsPerServer is the number of points that [ring] places for each server.
	ringPointsPerServer = 64
	// zipfSamples is the number of requests drawn for a Zipf load.
	zipfSamples = 400_000
	// hashSlotCount is the number of hash slots that keys hash to.
	hashSlotCount = 256
	// maxPlanningRounds bounds the planning rounds until an assignment is stable. It takes several, since each round limits
	// its moves.
	maxPlanningRounds = 200
)

// measureMoves counts, for each strategy, the keys that change owner when a server is lost and when one joins.
func (b Benchmark) measureMoves() []moveResult {
	var results []moveResult
	for _, s := range []strategy{assigned{}, modulo{}, ring{}} {
		for _, event := range []string{"ServerLost", "ServerJoins"} {
			before, after := serverCount, serverCount-1
			if event == "ServerJoins" {
				before, after = serverCount-1, serverCount
			}
			ownerBefore := ownersAmong(s, before)
			ownerAfter := ownersAfterResize(s, ownerBefore, before, after)
			r := moveResult{Strategy: strategyName(s), Event: event, Keys: keyCount}
			for key := range keyCount {
				hash := unit.HashKey(strconv.Itoa(key))
				if ownerBefore(hash) != ownerAfter(hash) {
					r.Moved++
				}
			}
			r.MinMoved = keyCount / serverCount
			r.Ratio = float64(r.Moved) / float64(r.MinMoved)
			results = append(results, r)
		}
	}
	return results
}

// ownersAmong returns a strategy's function from key hash to owner, for the first n servers.
func ownersAmong(s strategy, n int) func(hash uint64) string {
	switch s.(type) {
	case assigned:
		a := balanceInputs(n, nil).Plan(assignment.Assignment{})
		return assignedOwner(a)
	case modulo:
		return func(hash uint64) string { return serverName(int(hash%uint64(n)) + 1) }
	case ring:
		return ringOwner(n)
	}
	return nil
}

// ownersAfterResize returns the owner function after a change in the number of servers. An assignment is replanned from the
// previous one until it is stable.
func ownersAfterResize(s strategy, _ func(uint64) string, before, after int) func(hash uint64) string {
	if _, ok := s.(assigned); !ok {
		return ownersAmong(s, after)
	}
	a := balanceInputs(before, nil).Plan(assignment.Assignment{})
	for range maxPlanningRounds {
		next := balanceInputs(after, nil).Plan(a)
		if len(a.MovedUnits(next)) == 0 {
			break
		}
		a = next
	}
	return assignedOwner(a)
}

// measureLoads measures the distribution of Zipf loads over the servers for each strategy.
func (b Benchmark) measureLoads() []loadResult {
	var results []loadResult
	for _, exponent := range []float64{1.01, 1.1, 1.3} {
		rates := b.drawZipfLoad(exponent)
		best := bestImbalance(rates)
		for _, s := range []strategy{assigned{}, modulo{}, ring{}} {
			results = append(results, loadResult{Strategy: strategyName(s), Zipf: exponent, BestImbalance: best,
				Imbalance: imbalance(rates, ownersAmong(s, serverCount))})
		}
		for _, hotKeys := range []int{10, 50} {
			a, moves := planHotKeys(rates, hotKeys)
			results = append(results, loadResult{Strategy: strategyName(assigned{}), HotKeys: hotKeys, Zipf: exponent, BestImbalance: best,
				Imbalance: imbalance(rates, assignedOwner(a)), Moves: moves})
		}
	}
	return results
}

// planHotKeys replans from the request rates that lease holders would report until the assignment is stable. It returns the
// assignment and the total number of moves.
func planHotKeys(rates map[uint64]float64, hotKeys int) (assignment.Assignment, int) {
	a := balanceInputs(serverCount, nil).Plan(assignment.Assignment{})
	moves := 0
	for range maxPlanningRounds {
		inputs := balanceInputs(serverCount, requestRates(rates, a))
		inputs.Configuration = example.Size{Hosts: 3, Servers: serverCount, ServerSlots: 2, HashSlots: hashSlotCount, HotKeys: hotKeys}.Configuration()
		next := inputs.Plan(a)
		n := len(a.MovedUnits(next))
		if n == 0 {
			break
		}
		moves += n
		a = next
	}
	return a, moves
}

// requestRates returns the total request rate of each server and the rates of its hottest keys.
func requestRates(rates map[uint64]float64, a assignment.Assignment) []requestrate.RequestRate {
	const maxReportedKeys = 24 // the bound on the keys that a lease holder counts, maxKeys in package hotkeys
	owner := assignedOwner(a)
	totals := map[string]float64{}
	keys := map[string][]requestrate.RequestRate{}
	for hash, rate := range rates {
		s := owner(hash)
		totals[s] += rate
		keys[s] = append(keys[s], requestrate.RequestRate{Service: example.Service, Server: s, KeyHash: hash, Rate: rate})
	}
	var reports []requestrate.RequestRate
	for n := range serverCount {
		s := serverName(n + 1)
		reports = append(reports, requestrate.RequestRate{Service: example.Service, Server: s, Rate: totals[s]})
		slices.SortFunc(keys[s], func(x, y requestrate.RequestRate) int {
			switch {
			case x.Rate != y.Rate && x.Rate > y.Rate, x.Rate == y.Rate && x.KeyHash < y.KeyHash:
				return -1
			}
			return 1
		})
		reports = append(reports, keys[s][:min(maxReportedKeys, len(keys[s]))]...)
	}
	return reports
}

// drawZipfLoad draws the number of requests for each key hash from a Zipf distribution.
func (b Benchmark) drawZipfLoad(exponent float64) map[uint64]float64 {
	random := rand.New(rand.NewPCG(b.seed, 11))
	z := rand.NewZipf(random, exponent, 1, keyCount-1)
	rates := map[uint64]float64{}
	for range zipfSamples {
		rates[unit.HashKey(strconv.FormatUint(z.Uint64(), 10))]++
	}
	return rates
}

// imbalance returns the busiest server's load divided by the mean load.
func imbalance(rates map[uint64]float64, owner func(uint64) string) float64 {
	loads := map[string]float64{}
	total, busiest := 0.0, 0.0
	for hash, rate := range rates {
		loads[owner(hash)] += rate
		total += rate
	}
	for _, l := range loads {
		busiest = max(busiest, l)
	}
	return busiest / (total / serverCount)
}

// bestImbalance returns the imbalance with the hottest key alone on a server, but at least 1.
func bestImbalance(rates map[uint64]float64) float64 {
	total, hottest := 0.0, 0.0
	for _, r := range rates {
		total += r
		hottest = max(hottest, r)
	}
	return max(1, hottest/(total/serverCount))
}

// balanceInputs returns the inputs of the planner with the first n servers usable.
func balanceInputs(n int, rates []requestrate.RequestRate) balance.Balance {
	b := balance.Balance{DataCentre: example.DataCentre, Usable: map[string]bool{}, RequestRates: rates, MayMove: true,
		Configuration: example.Size{Hosts: 3, Servers: serverCount, ServerSlots: 2, HashSlots: hashSlotCount}.Configuration()}
	for i := range n {
		b.Usable[serverName(i+1)] = true
	}
	return b
}

// assignedOwner returns the owner function of an assignment.
func assignedOwner(a assignment.Assignment) func(hash uint64) string {
	return func(hash uint64) string {
		server, _ := a.OwnerOfHash(example.Service, hash)
		return server
	}
}

// ringOwner returns the owner function of a consistent-hashing ring of n servers.
func ringOwner(n int) func(hash uint64) string {
	type point struct {
		position uint64
		server   string
	}
	var points []point
	for i := range n {
		for j := range ringPointsPerServer {
			points = append(points, point{position: xxhash.Sum64String(fmt.Sprintf("%d/%d", i, j)), server: serverName(i + 1)})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		if a.position < b.position {
			return -1
		}
		return 1
	})
	return func(hash uint64) string {
		i, _ := slices.BinarySearchFunc(points, hash, func(p point, h uint64) int {
			if p.position < h {
				return -1
			}
			return 1
		})
		return points[i%len(points)].server
	}
}

func serverName(n int) string { return fmt.Sprintf("%s-%d", example.Service, n) }

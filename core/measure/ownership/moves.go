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
	sampledKeys = 20_000
	ringPoints  = 64
	zipfDraws   = 400_000
	loadSlots   = 256
	maxRounds   = 200
)

// moves counts the keys that change their owner when one of the servers goes, and when one comes.
func (o Ownership) moves() []moveResult {
	var results []moveResult
	for _, s := range []strategy{assigned{}, modulo{}, ring{}} {
		for _, event := range []string{"ServerLost", "ServerJoins"} {
			before, after := servers, servers-1
			if event == "ServerJoins" {
				before, after = servers-1, servers
			}
			owners := ownersOf(s, before)
			next := successorsOf(s, owners, before, after)
			r := moveResult{Strategy: nameOf(s), Event: event, Keys: sampledKeys}
			for key := range sampledKeys {
				hash := unit.HashKey(strconv.Itoa(key))
				if owners(hash) != next(hash) {
					r.Moved++
				}
			}
			r.Least = sampledKeys / servers
			r.Ratio = float64(r.Moved) / float64(r.Least)
			results = append(results, r)
		}
	}
	return results
}

// ownersOf returns a strategy's owner of a hash among the first n servers.
func ownersOf(s strategy, n int) func(hash uint64) string {
	switch s.(type) {
	case assigned:
		a := inputs(n, nil).Plan(assignment.Assignment{})
		return ownerIn(a)
	case modulo:
		return func(hash uint64) string { return serverName(int(hash%uint64(n)) + 1) }
	case ring:
		return ringOf(n)
	}
	return nil
}

// successorsOf returns the owners after the number of servers has changed.
func successorsOf(s strategy, _ func(uint64) string, before, after int) func(hash uint64) string {
	if _, ok := s.(assigned); !ok {
		return ownersOf(s, after)
	}
	a := inputs(before, nil).Plan(assignment.Assignment{})
	for range maxRounds {
		next := inputs(after, nil).Plan(a)
		if len(a.MovedUnits(next)) == 0 {
			break
		}
		a = next
	}
	return ownerIn(a)
}

// loads measures how evenly a Zipf load falls on the servers.
func (o Ownership) loads() []loadResult {
	var results []loadResult
	for _, exponent := range []float64{1.01, 1.1, 1.3} {
		rates := o.zipf(exponent)
		best := bestImbalance(rates)
		for _, s := range []strategy{assigned{}, modulo{}, ring{}} {
			results = append(results, loadResult{Strategy: nameOf(s), Zipf: exponent, Best: best,
				Imbalance: imbalance(rates, ownersOf(s, servers))})
		}
		for _, hotKeys := range []int{10, 50} {
			a, moves := withHotKeys(rates, hotKeys)
			results = append(results, loadResult{Strategy: nameOf(assigned{}), HotKeys: hotKeys, Zipf: exponent, Best: best,
				Imbalance: imbalance(rates, ownerIn(a)), Moves: moves})
		}
	}
	return results
}

// withHotKeys plans round after round by what stewards would report, until the plan rests.
func withHotKeys(rates map[uint64]float64, hotKeys int) (assignment.Assignment, int) {
	a := inputs(servers, nil).Plan(assignment.Assignment{})
	moves := 0
	for range maxRounds {
		b := inputs(servers, heatsOf(rates, a))
		b.Configuration = example.Size{Hosts: 3, Servers: servers, ServerSlots: 2, Slots: loadSlots, HotKeys: hotKeys}.Configuration()
		next := b.Plan(a)
		n := len(a.MovedUnits(next))
		if n == 0 {
			break
		}
		moves += n
		a = next
	}
	return a, moves
}

// heatsOf returns each server's rate and its hottest keys.
func heatsOf(rates map[uint64]float64, a assignment.Assignment) []requestrate.RequestRate {
	const reported = 24
	owner := ownerIn(a)
	totals := map[string]float64{}
	keys := map[string][]requestrate.RequestRate{}
	for hash, rate := range rates {
		s := owner(hash)
		totals[s] += rate
		keys[s] = append(keys[s], requestrate.RequestRate{Service: example.Service, Server: s, KeyHash: hash, Rate: rate})
	}
	var all []requestrate.RequestRate
	for n := range servers {
		s := serverName(n + 1)
		all = append(all, requestrate.RequestRate{Service: example.Service, Server: s, Rate: totals[s]})
		slices.SortFunc(keys[s], func(x, y requestrate.RequestRate) int {
			switch {
			case x.Rate != y.Rate && x.Rate > y.Rate, x.Rate == y.Rate && x.KeyHash < y.KeyHash:
				return -1
			}
			return 1
		})
		all = append(all, keys[s][:min(reported, len(keys[s]))]...)
	}
	return all
}

// zipf draws the load of each key.
func (o Ownership) zipf(exponent float64) map[uint64]float64 {
	random := rand.New(rand.NewPCG(o.seed, 11))
	z := rand.NewZipf(random, exponent, 1, sampledKeys-1)
	rates := map[uint64]float64{}
	for range zipfDraws {
		rates[unit.HashKey(strconv.FormatUint(z.Uint64(), 10))]++
	}
	return rates
}

func imbalance(rates map[uint64]float64, owner func(uint64) string) float64 {
	loads := map[string]float64{}
	total, most := 0.0, 0.0
	for hash, rate := range rates {
		loads[owner(hash)] += rate
		total += rate
	}
	for _, l := range loads {
		most = max(most, l)
	}
	return most / (total / servers)
}

// bestImbalance is that of the hottest key alone on a server, or 1.
func bestImbalance(rates map[uint64]float64) float64 {
	total, hottest := 0.0, 0.0
	for _, r := range rates {
		total += r
		hottest = max(hottest, r)
	}
	return max(1, hottest/(total/servers))
}

func inputs(n int, heats []requestrate.RequestRate) balance.Balance {
	b := balance.Balance{DataCentre: example.DataCentre, Usable: map[string]bool{}, RequestRates: heats, MayMove: true,
		Configuration: example.Size{Hosts: 3, Servers: servers, ServerSlots: 2, Slots: loadSlots}.Configuration()}
	for i := range n {
		b.Usable[serverName(i+1)] = true
	}
	return b
}

func ownerIn(a assignment.Assignment) func(hash uint64) string {
	return func(hash uint64) string {
		server, _ := a.OwnerOfHash(example.Service, hash)
		return server
	}
}

func ringOf(n int) func(hash uint64) string {
	type point struct {
		at     uint64
		server string
	}
	var points []point
	for i := range n {
		for j := range ringPoints {
			points = append(points, point{at: xxhash.Sum64String(fmt.Sprintf("%d/%d", i, j)), server: serverName(i + 1)})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return func(hash uint64) string {
		i, _ := slices.BinarySearchFunc(points, hash, func(p point, h uint64) int {
			if p.at < h {
				return -1
			}
			return 1
		})
		return points[i%len(points)].server
	}
}

func serverName(n int) string { return fmt.Sprintf("%s-%d", example.Service, n) }

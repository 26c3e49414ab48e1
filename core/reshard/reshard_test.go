package reshard_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/keyrates"
	"redwingsill/core/ownerload"
	"redwingsill/core/reshard"
)

func TestReshard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reshard")
}

const serviceTime = 200 * time.Millisecond

var noLoad = keyrates.New(nil, nil)

// after applies the moves of a plan to a map. Like the coordinator it joins a range to adjacent ones of its new owner.
func after(m keymap.Map, moves []holding.Holding) keymap.Map {
	for i, h := range moves {
		m = m.WithJoined(holding.Holding{Range: h.Range, Owner: h.Owner, Fence: int64(1000 + i)}, nil)
	}
	return m
}

// halves assigns the lower half of all keys to x and the upper half to y.
func halves() keymap.Map {
	return keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 32767}, Owner: "x", Fence: 1},
		holding.Holding{Range: keyrange.Range{From: 32768, To: keyrange.MaxKey}, Owner: "y", Fence: 2})
}

var _ = Describe("a plan", func() {
	It("divides all keys by capacity at the start", func() {
		m := after(keymap.New(), reshard.New(keymap.New(), map[string]float64{"x": 1, "y": 3}, noLoad, nil, serviceTime).Moves(8, true))
		Expect(m.Gaps()).To(BeEmpty())
		Expect(m.KeyCount("x")).To(Equal(16384))
	})

	It("moves nothing without load", func() {
		Expect(reshard.New(halves(), map[string]float64{"x": 2, "y": 2}, noLoad, nil, serviceTime).Moves(8, true)).To(BeEmpty())
	})

	It("reassigns the keys of an owner that has left, split by load", func() {
		var keys []int
		var rates []float64
		for key := range 100 {
			keys, rates = append(keys, key*300), append(rates, 0.2)
		}
		m := after(halves(), reshard.New(halves(), map[string]float64{"y": 2, "z": 2}, keyrates.New(keys, rates), nil, serviceTime).Moves(8, false))
		Expect(m.KeyCount("x")).To(BeZero())
		Expect(m.Gaps()).To(BeEmpty())
		Expect(m.KeyCount("z")).To(BeNumerically(">", 0))
	})

	It("moves keys with load to a server without keys", func() {
		keys, rates := []int{10, 20, 30, 40}, []float64{1, 1, 1, 1}
		moves := reshard.New(halves(), map[string]float64{"x": 2, "y": 2, "new": 2}, keyrates.New(keys, rates), nil, serviceTime).Moves(8, true)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Owner).To(Equal("new"))
		Expect(keyrates.New(keys, rates).Sum(moves[0].Range)).To(BeNumerically(">", 0))
	})

	It("moves narrow parts of a hot range to idle servers", func() {
		var keys []int
		var rates []float64
		for key := range 50 {
			keys, rates = append(keys, 1000+key), append(rates, 0.4) // 4 concurrent requests on 2 slots
		}
		capacities := map[string]float64{"x": 2, "y": 2}
		m := halves()
		moves := reshard.New(m, capacities, keyrates.New(keys, rates), nil, serviceTime).Moves(8, true)
		Expect(moves).NotTo(BeEmpty())
		moved := 0.0
		for _, h := range moves {
			Expect(h.Owner).To(Equal("y"))
			Expect(h.Range.Width()).To(BeNumerically("<=", 50))
			moved += keyrates.New(keys, rates).Sum(h.Range) * serviceTime.Seconds()
		}
		Expect(moved).To(BeNumerically("~", 1.3, 0.7))
	})

	It("moves the key of a waiting request, but no key of a running one", func() {
		ownerLoads := map[string]ownerload.OwnerLoad{"x": {Waiting: []int{100, 200}, Running: []int{90, 110, 200}}, "y": {Free: 2}}
		moves := reshard.New(halves(), map[string]float64{"x": 2, "y": 2}, noLoad, ownerLoads, serviceTime).Moves(8, false)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Owner).To(Equal("y"))
		Expect(moves[0].Range).To(Equal(keyrange.Range{From: 91, To: 109}))
	})

	It("leaves recently moved ranges in place", func() {
		ownerLoads := map[string]ownerload.OwnerLoad{"x": {Waiting: []int{100}, Running: []int{90}}, "y": {Free: 2}}
		plan := reshard.New(halves(), map[string]float64{"x": 2, "y": 2}, noLoad, ownerLoads, serviceTime)
		Expect(plan.WithRecentlyMoved([]keyrange.Range{{From: 0, To: 500}}).Moves(8, true)).To(BeEmpty())
	})

	It("moves a key that overloads its owner to the server with the most capacity", func() {
		rates := keyrates.New([]int{100}, []float64{12}) // 2.4 concurrent requests
		moves := reshard.New(halves(), map[string]float64{"x": 2, "y": 4}, rates, nil, serviceTime).Moves(8, true)
		Expect(moves).To(Equal([]holding.Holding{{Range: keyrange.Range{From: 100, To: 100}, Owner: "y"}}))
	})

	It("joins small ranges when there are many", func() {
		m := halves()
		for i := range 20 {
			m = m.With(holding.Holding{Range: keyrange.Range{From: i * 100, To: i*100 + 5}, Owner: "y", Fence: int64(10 + i)})
		}
		capacities := map[string]float64{"x": 2, "y": 2}
		before := len(m.Holdings())
		for range 10 {
			m = after(m, reshard.New(m, capacities, noLoad, nil, serviceTime).Moves(8, true))
		}
		Expect(len(m.Holdings())).To(BeNumerically("<", before/2))
		Expect(m.Gaps()).To(BeEmpty())
	})
})

// The load is that of a sharded service on 13 servers with 2 slots each, at 60% utilisation. The rates of the keys differ
// as in an inventory service: in each run of 200 keys, key n (from 0) has a rate in proportion to 1/(n+5). Without moves
// a third of the requests to the busiest owner wait.
var _ = It("keeps a skewed load within the capacity of each server", func() {
	var keys []int
	var rates []float64
	total := 0.0
	for i := range 2000 {
		keys = append(keys, 20000+i*3)
		rate := 1 / float64(i%200+5)
		rates = append(rates, rate)
		total += rate
	}
	for i := range rates {
		rates[i] *= 78 / total // 15.6 concurrent requests on 26 slots
	}
	load := keyrates.New(keys, rates)
	capacities := map[string]float64{}
	for i := range 13 {
		capacities[fmt.Sprint("s", i)] = 2
	}
	m := after(keymap.New(), reshard.New(keymap.New(), capacities, noLoad, nil, serviceTime).Moves(13, true))
	for range 30 {
		m = after(m, reshard.New(m, capacities, load, nil, serviceTime).Moves(8, true))
	}
	for owner := range capacities {
		ownerLoad := 0.0
		for _, h := range m.Holdings() {
			if h.Owner == owner {
				ownerLoad += load.Sum(h.Range) * serviceTime.Seconds()
			}
		}
		Expect(ownerLoad).To(BeNumerically("<=", 2*0.8), owner)
	}
})

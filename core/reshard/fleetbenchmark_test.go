package reshard_test

import (
	"fmt"
	"testing"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownerload"
	"redwingsill/core/reshard"
)

// BenchmarkFleet measures a plan for 300 owners with 5 ranges each, 14,000 keys with recent requests and 200 waiting requests for
// neighbouring keys.
func BenchmarkFleet(b *testing.B) {
	const owners, ranges = 300, 1500
	now := time.Unix(1000, 0)
	capacities := map[string]float64{}
	loads := map[string]ownerload.OwnerLoad{}
	keys := keymap.New()
	for i := range owners {
		name := fmt.Sprint("s", i)
		capacities[name] = 2
		loads[name] = ownerload.OwnerLoad{Free: i % 2, Running: []int{i * 200}}
	}
	const width = (keyrange.MaxKey + 1) / ranges
	for i := range ranges {
		to := i*width + width - 1
		if i == ranges-1 {
			to = keyrange.MaxKey
		}
		keys = keys.With(holding.Holding{Range: keyrange.Range{From: i * width, To: to}, Owner: fmt.Sprint("s", i%owners), Fence: int64(i + 1)})
	}
	load := keyload.New()
	for i := range 14000 {
		load = load.WithRequest((i*7919)%65536, now)
	}
	for i := range 200 {
		key := 20000 + i
		h, _ := keys.HoldingOf(key)
		o := loads[h.Owner]
		o.Free, o.Waiting = 0, append(o.Waiting, key)
		loads[h.Owner] = o
		for range 10 {
			load = load.WithRequest(key, now)
		}
	}
	b.Run("rates", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			load.Rates(now)
		}
	})
	rates := load.Rates(now)
	for _, isBalancing := range []bool{false, true} {
		b.Run(fmt.Sprintf("plan/balancing=%v", isBalancing), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				reshard.New(keys, capacities, rates, loads, 200*time.Millisecond).Moves(8, isBalancing)
			}
		})
	}
}

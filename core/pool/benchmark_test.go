package pool_test

import (
	"fmt"
	"testing"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/slotrequest"
)

// BenchmarkRequest measures one request and one result that frees a slot, in a pool of 13 servers with 6 slots each. Its
// name gives the number of waiting requests; with 0, one request waits at the start.
func BenchmarkRequest(b *testing.B) {
	for _, isSharded := range []bool{false, true} {
		for _, waiting := range []int{0, 50, 200, 5000} {
			b.Run(fmt.Sprintf("sharded=%v/waiting=%d", isSharded, waiting), func(b *testing.B) {
				now := time.Unix(1000, 0)
				var servers []instance.Instance
				keys := keymap.New()
				for i := range 13 {
					s := instance.Instance{ID: fmt.Sprint("s", i), Service: "s", DataCentre: "a", Slots: 6}
					servers = append(servers, s)
					keys = keys.With(holding.Holding{Range: keyrange.Range{From: i * 5000, To: i*5000 + 4999}, Owner: s.Incarnation(), Fence: int64(i)})
				}
				p, _ := pool.New(isSharded, 1).WithServers(servers, now)
				p, _ = p.WithKeys(keys, nil, now)
				next := func(n int) slotrequest.SlotRequest {
					r := slotrequest.SlotRequest{Ticket: uint64(n), DataCentre: "a", Service: "s", Key: slotrequest.NoKey, Objective: now.Add(250 * time.Millisecond),
						Deadline: now.Add(time.Hour), IsIdempotent: true}
					if isSharded {
						r.Key = (n * 7919) % 65000
					}
					return r
				}
				var placed []placement.Place
				n := 0
				for p.Waiting() < max(1, waiting) {
					n++
					var done []placement.Placement
					p, done = p.WithRequest(next(n), now)
					for _, d := range done {
						if d, ok := d.(placement.Place); ok {
							placed = append(placed, d)
						}
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					n++
					var done, freed []placement.Placement
					p, done = p.WithRequest(next(n), now)
					if len(placed) > 0 {
						r := placed[0]
						placed = placed[1:]
						p, freed = p.WithResult(attemptresult.AttemptResult{Ticket: r.Ticket, Incarnation: r.Incarnation, Status: attemptresult.Answered, Duration: 80 * time.Millisecond, Running: -1}, now)
					}
					for _, d := range append(done, freed...) {
						if d, ok := d.(placement.Place); ok {
							placed = append(placed, d)
						}
					}
					_ = i
				}
			})
		}
	}
}

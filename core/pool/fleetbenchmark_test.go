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

// BenchmarkFleet measures a pool of 300 servers with 2 slots each, of which 60% are in use by 300 hosts: a request and the result that
// frees its slot, and a host's list of the slots that it holds.
func BenchmarkFleet(b *testing.B) {
	const servers, hosts, slots = 300, 300, 2
	for _, isSharded := range []bool{false, true} {
		now := time.Unix(1000, 0)
		var all []instance.Instance
		keys := keymap.New()
		for i := range servers {
			s := instance.Instance{ID: fmt.Sprint("s", i), Service: "s", DataCentre: fmt.Sprint("dc", i%5), Slots: slots}
			all = append(all, s)
			keys = keys.With(holding.Holding{Range: keyrange.Range{From: i * 218, To: i*218 + 217}, Owner: s.Incarnation(), Fence: int64(i)})
		}
		p, _ := pool.New(isSharded, 1).WithServers(all, now)
		p, _ = p.WithKeys(keys, nil, now)
		var held []placement.Place
		step := func(n int) {
			now = now.Add(500 * time.Microsecond)
			r := slotrequest.SlotRequest{Ticket: uint64(n%hosts)<<32 | uint64(n), DataCentre: fmt.Sprint("dc", n%5), Service: "s", Key: slotrequest.NoKey,
				Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(4 * time.Second), IsIdempotent: true}
			if isSharded {
				r.Key = (n * 7919) % 65000
			}
			var done []placement.Placement
			p, done = p.WithRequest(r, now)
			for _, d := range done {
				if d, ok := d.(placement.Place); ok {
					held = append(held, d)
				}
			}
			for len(held) > servers*slots*6/10 {
				p, done = p.WithResult(attemptresult.AttemptResult{Ticket: held[0].Ticket, Incarnation: held[0].Incarnation, Status: attemptresult.Answered,
					Duration: 200 * time.Millisecond, Running: 1}, now)
				held = held[1:]
				for _, d := range done {
					if d, ok := d.(placement.Place); ok {
						held = append(held, d)
					}
				}
			}
		}
		n := 0
		for ; n < 2000; n++ {
			step(n)
		}
		b.Run(fmt.Sprintf("sharded=%v/request", isSharded), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				n++
				step(n)
			}
		})
		b.Run(fmt.Sprintf("sharded=%v/heldslots", isSharded), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				host := uint32(i % hosts)
				tickets := map[uint64]bool{}
				for _, h := range held {
					if uint32(h.Ticket>>32) == host {
						tickets[h.Ticket] = true
					}
				}
				p, _ = p.WithHeldSlots(host, tickets, now.Add(-time.Second), now)
			}
		})
		if isSharded { // thousands of requests wait for the owner of keys that move
			p, _ = p.WithKeys(keys, []keyrange.Range{{From: 65300, To: keyrange.MaxKey}}, now)
			for i := range 2000 {
				p, _ = p.WithRequest(slotrequest.SlotRequest{Ticket: 1<<50 + uint64(i), DataCentre: "dc0", Service: "s", Key: 65301,
					Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, now)
			}
			b.Run("sharded=true/waiting=2000/request", func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					n++
					step(n)
				}
			})
		}
		b.Run(fmt.Sprintf("sharded=%v/keys", isSharded), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				owner := all[i%servers].Incarnation()
				p, _ = p.WithKeys(keys.With(holding.Holding{Range: keyrange.Range{From: 20000, To: 20010}, Owner: owner, Fence: int64(1000 + i)}), nil, now)
			}
		})
		b.Run(fmt.Sprintf("sharded=%v/tick", isSharded), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				p, _ = p.WithTick(now)
			}
		})
	}
}

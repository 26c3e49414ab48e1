package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/attemptresult"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/slotrequest"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pool")
}

var start = time.Unix(1000, 0)

// hall is a pool that a test steps by hand.
type hall struct {
	pool   pool.Pool
	now    time.Time
	placed map[uint64]string
	// refused gives the reason of each refusal.
	refused map[uint64]placement.Refuse
}

func newHall(isDivided bool, servers ...instance.Instance) *hall {
	h := &hall{pool: pool.New(isDivided, 1), now: start, placed: map[uint64]string{}, refused: map[uint64]placement.Refuse{}}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithServers(servers, h.now) })
	return h
}

func server(id, dataCentre string, slots int) instance.Instance {
	return instance.Instance{ID: id, Service: "s", DataCentre: dataCentre, Slots: slots}
}

func (h *hall) step(f func(pool.Pool) (pool.Pool, []placement.Placement)) {
	var done []placement.Placement
	h.pool, done = f(h.pool)
	for _, d := range done {
		switch d := d.(type) {
		case placement.Place:
			h.placed[d.Ticket] = instance.IDOf(d.Life)
		case placement.Refuse:
			h.refused[d.Ticket] = d
		}
	}
}

func (h *hall) ask(a slotrequest.SlotRequest) {
	if a.DataCentre == "" {
		a.DataCentre = "a"
	}
	a.Service = "s"
	if a.Objective.IsZero() {
		a.Objective = h.now.Add(time.Second)
	}
	if a.Deadline.IsZero() {
		a.Deadline = h.now.Add(4 * time.Second)
	}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithAsk(a, h.now) })
}

func (h *hall) report(ticket uint64, result attemptresult.Status, took time.Duration) {
	r := attemptresult.AttemptResult{Ticket: ticket, Life: h.placed[ticket] + "@0", Result: result, Took: took, Running: -1, Waiting: -1}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithReport(r, h.now) })
}

func (h *hall) tick(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithTick(h.now) })
}

// unkeyed is an ask without a key.
func unkeyed(ticket uint64) slotrequest.SlotRequest {
	return slotrequest.SlotRequest{Ticket: ticket, Key: slotrequest.NoKey, MayRepeat: true}
}

var _ = Describe("a pool", func() {
	It("gives out each slot once, and again when it is free", func() {
		h := newHall(false, server("x", "a", 2))
		for ticket := range uint64(3) {
			h.ask(unkeyed(ticket + 1))
		}
		Expect(h.placed).To(HaveLen(2))
		h.report(1, attemptresult.Answered, 100*time.Millisecond)
		Expect(h.placed).To(HaveKeyWithValue(uint64(3), "x"))
	})

	It("answers a repeated ask with the same slot", func() {
		h := newHall(false, server("x", "a", 2))
		h.ask(unkeyed(1))
		h.placed = map[uint64]string{}
		h.ask(unkeyed(1))
		Expect(h.placed).To(HaveKeyWithValue(uint64(1), "x"))
		Expect(h.pool.Running()).To(Equal(1))
	})

	It("serves the most urgent rank first, whenever it came", func() {
		h := newHall(false, server("x", "a", 1))
		h.ask(unkeyed(1))
		low, high := unkeyed(2), unkeyed(3)
		low.Rank = 2
		h.ask(low)
		h.ask(high)
		h.report(1, attemptresult.Answered, 100*time.Millisecond)
		Expect(h.placed).To(HaveKey(uint64(3)))
		Expect(h.placed).NotTo(HaveKey(uint64(2)))
	})

	It("stays in the data centre while that is in time, and goes elsewhere when it is not", func() {
		h := newHall(false, server("far", "b", 2), server("near", "a", 1))
		h.ask(unkeyed(1))
		h.ask(unkeyed(2))
		Expect(h.placed).To(Equal(map[uint64]string{1: "near", 2: "far"}))
	})

	It("refuses at once what the work ahead leaves no time for, and says when to come back", func() {
		h := newHall(false, server("x", "a", 1))
		for ticket := range uint64(20) {
			a := unkeyed(ticket + 1)
			a.Deadline = h.now.Add(time.Second)
			h.ask(a)
		}
		Expect(h.refused).NotTo(BeEmpty())
		for _, r := range h.refused {
			Expect(r.Reason).To(Equal(placement.Overload))
			Expect(r.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
		}
		Expect(len(h.refused) + h.pool.Waiting() + h.pool.Running()).To(Equal(20))
	})

	It("refuses what has become unservable while it waited, before its deadline", func() {
		h := newHall(false, server("x", "a", 1))
		for ticket := range uint64(5) {
			a := unkeyed(ticket + 1)
			a.Deadline = h.now.Add(time.Second)
			h.ask(a)
		}
		h.tick(700 * time.Millisecond) // the first still runs
		Expect(h.refused).NotTo(BeEmpty())
		Expect(h.now).To(BeTemporally("<", start.Add(time.Second)))
	})

	It("lets work that must not repeat try a doubtful server when there is no other", func() {
		h := newHall(false, server("x", "a", 1))
		only := unkeyed(1)
		only.MayRepeat = false
		h.ask(only)
		h.report(1, attemptresult.Silent, time.Second)
		h.tick(time.Second)
		next := unkeyed(2)
		next.MayRepeat = false
		h.ask(next)
		Expect(h.placed).To(HaveKeyWithValue(uint64(2), "x"))
	})

	It("spares a host a server that it can't reach, and others go on using it", func() {
		h := newHall(false, server("x", "a", 4))
		host := func(n uint64) uint64 { return n<<32 | 1 }
		h.ask(unkeyed(host(7)))
		h.report(host(7), attemptresult.Unreachable, 0)
		h.ask(unkeyed(host(7) + 1))
		Expect(h.refused).To(HaveKey(host(7) + 1))
		h.ask(unkeyed(host(8)))
		Expect(h.placed).To(HaveKeyWithValue(host(8), "x"))
	})

	It("lets a server rest that several hosts can't reach", func() {
		h := newHall(false, server("x", "a", 4))
		for n := range uint64(2) {
			ticket := (n + 1) << 32
			h.ask(unkeyed(ticket))
			h.report(ticket, attemptresult.Unreachable, 0)
		}
		h.ask(unkeyed(3 << 32))
		Expect(h.placed).NotTo(HaveKey(uint64(3 << 32)))
	})

	It("gives a leaving server nothing new", func() {
		leaving := server("x", "a", 4).WithLeaving(start.Add(time.Second))
		h := newHall(false, leaving)
		h.ask(unkeyed(1))
		Expect(h.refused[1].Reason).To(Equal(placement.NoServers))
	})

	It("frees the slots that a host no longer names", func() {
		h := newHall(false, server("x", "a", 1))
		ticket := uint64(5) << 32
		h.ask(unkeyed(ticket))
		h.ask(unkeyed(ticket + 1))
		h.now = h.now.Add(2 * time.Second)
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
			return p.WithHeld(5, map[uint64]bool{ticket + 1: true}, h.now.Add(-time.Second), h.now)
		})
		Expect(h.placed).To(HaveKey(ticket + 1))
	})

	It("counts what a server has from elsewhere", func() {
		h := newHall(false, server("x", "a", 2))
		h.ask(unkeyed(1))
		r := attemptresult.AttemptResult{Ticket: 1, Life: "x@0", Result: attemptresult.Answered, Took: time.Millisecond, Running: 3}
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithReport(r, h.now) })
		h.ask(unkeyed(2))
		Expect(h.placed).NotTo(HaveKey(uint64(2)))
		h.tick(300 * time.Millisecond)
		Expect(h.placed).To(HaveKey(uint64(2)))
	})
})

var _ = Describe("a pool of a divided service", func() {
	keyed := func(ticket uint64, key int) slotrequest.SlotRequest {
		return slotrequest.SlotRequest{Ticket: ticket, Key: key, MayRepeat: true}
	}
	owned := func(h *hall, moving ...keyrange.Range) {
		keys := keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 99}, Owner: "x@0", Fence: 1},
			holding.Holding{Range: keyrange.Range{From: 100, To: 199}, Owner: "y@0", Fence: 2})
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithKeys(keys, moving, h.now) })
	}

	It("sends a key to its owner alone", func() {
		h := newHall(true, server("x", "a", 1), server("y", "a", 4))
		owned(h)
		h.ask(keyed(1, 5))
		h.ask(keyed(2, 6))
		h.ask(keyed(3, 105))
		Expect(h.placed).To(Equal(map[uint64]string{1: "x", 3: "y"}))
	})

	It("holds a key that moves, and serves it at its new owner", func() {
		h := newHall(true, server("x", "a", 1), server("y", "a", 4))
		owned(h, keyrange.Range{From: 5, To: 5})
		h.ask(keyed(1, 5))
		Expect(h.placed).To(BeEmpty())
		owned(h)
		Expect(h.placed).To(HaveKeyWithValue(uint64(1), "x"))
	})

	It("refuses a key that nobody has owned for long", func() {
		h := newHall(true, server("x", "a", 1))
		h.ask(keyed(1, 5))
		h.tick(time.Second)
		Expect(h.refused).To(BeEmpty())
		h.tick(time.Second)
		Expect(h.refused[1].Reason).To(Equal(placement.NoOwner))
	})

	It("says at once that an owner can't be reached", func() {
		h := newHall(true, server("x", "a", 2))
		owned(h)
		h.ask(keyed(1<<32, 5))
		h.report(1<<32, attemptresult.Unreachable, 0)
		h.ask(keyed(1<<32|1, 6))
		Expect(h.refused[1<<32|1].Reason).To(Equal(placement.Unreachable))
	})

	It("tells the keys that wait and run", func() {
		h := newHall(true, server("x", "a", 1), server("y", "a", 4))
		owned(h)
		h.ask(keyed(1, 5))
		h.ask(keyed(2, 6))
		pressures := h.pool.Pressures(h.now)
		Expect(pressures["x@0"].Running).To(Equal([]int{5}))
		Expect(pressures["x@0"].Waiting).To(Equal([]int{6}))
		Expect(pressures["y@0"].Free).To(Equal(4))
	})
})

// The load is that of a service for urgent orders and slow look-ups in a burst of the look-ups: 24 orders of 150 ms and 40
// look-ups of 880 ms a second on 26 slots, which fit 26 s of work in a second.
var _ = It("serves urgent orders in time through a burst of slow look-ups, and tells the rest early", func() {
	var servers []instance.Instance
	for i := range 13 {
		servers = append(servers, server(fmt.Sprint("s", i), "a", 2))
	}
	h := newHall(false, servers...)
	type job struct {
		asked, deadline time.Time
		work            time.Duration
		rank            int
	}
	jobs := map[uint64]job{}
	ends := map[uint64]time.Time{}
	orders, inTime, heldLong := 0, 0, 0
	ticket := uint64(0)
	for ms := range 12000 {
		h.now = start.Add(time.Duration(ms) * time.Millisecond)
		for id, j := range jobs {
			switch _, isPlaced := h.placed[id]; {
			case isPlaced && ends[id].IsZero():
				ends[id] = h.now.Add(j.work)
			case isPlaced && !h.now.Before(ends[id]):
				if j.rank == 0 && h.now.Sub(j.asked) <= 500*time.Millisecond {
					inTime++
				}
				delete(jobs, id)
				h.report(id, attemptresult.Answered, j.work)
			case !isPlaced:
				if _, isRefused := h.refused[id]; isRefused {
					if h.now.Sub(j.asked) > (j.deadline.Sub(j.asked))*3/4 {
						heldLong++
					}
					delete(jobs, id)
				}
			}
		}
		add := func(rank int, work, objective, deadline time.Duration) {
			ticket++
			a := unkeyed(ticket)
			a.Rank, a.Objective, a.Deadline, a.MayRepeat = rank, h.now.Add(objective), h.now.Add(deadline), rank > 0
			jobs[ticket] = job{asked: h.now, deadline: a.Deadline, work: work, rank: rank}
			h.ask(a)
		}
		if ms%42 == 0 && ms < 11000 { // the last ones have time to end
			orders++
			add(0, 150*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond)
		}
		if ms%25 == 0 && ms > 2000 && ms < 9000 {
			add(2, 880*time.Millisecond, 5*time.Second, 8*time.Second)
		}
		if ms%50 == 0 {
			h.tick(0)
		}
	}
	Expect(float64(inTime) / float64(orders)).To(BeNumerically(">=", 0.98))
	Expect(heldLong).To(BeZero())
})

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

// harness is a pool with a manual clock that records the placements.
type harness struct {
	pool pool.Pool
	now  time.Time
	// placed gives the server of each ticket that got a slot.
	placed  map[uint64]string
	refused map[uint64]placement.Refuse
}

func newHarness(isSharded bool, servers ...instance.Instance) *harness {
	h := &harness{pool: pool.New(isSharded, 1), now: start, placed: map[uint64]string{}, refused: map[uint64]placement.Refuse{}}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithServers(servers, h.now) })
	return h
}

func server(id, dataCentre string, slots int) instance.Instance {
	return instance.Instance{ID: id, Service: "s", DataCentre: dataCentre, Slots: slots}
}

func (h *harness) step(f func(pool.Pool) (pool.Pool, []placement.Placement)) {
	var done []placement.Placement
	h.pool, done = f(h.pool)
	for _, d := range done {
		switch d := d.(type) {
		case placement.Place:
			h.placed[d.Ticket] = instance.IDOf(d.Incarnation)
		case placement.Refuse:
			h.refused[d.Ticket] = d
		}
	}
}

func (h *harness) request(r slotrequest.SlotRequest) {
	if r.DataCentre == "" {
		r.DataCentre = "a"
	}
	r.Service = "s"
	if r.Objective.IsZero() {
		r.Objective = h.now.Add(time.Second)
	}
	if r.Deadline.IsZero() {
		r.Deadline = h.now.Add(4 * time.Second)
	}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithRequest(r, h.now) })
}

func (h *harness) finish(ticket uint64, status attemptresult.Status, duration time.Duration) {
	r := attemptresult.AttemptResult{Ticket: ticket, Incarnation: h.placed[ticket] + "@0", Status: status, Duration: duration, Running: -1, Waiting: -1}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithResult(r, h.now) })
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithTick(h.now) })
}

// unkeyed returns an idempotent request without a key.
func unkeyed(ticket uint64) slotrequest.SlotRequest {
	return slotrequest.SlotRequest{Ticket: ticket, Key: slotrequest.NoKey, IsIdempotent: true}
}

var _ = Describe("a pool", func() {
	It("gives out each slot once, and again after it was freed", func() {
		h := newHarness(false, server("x", "a", 2))
		for ticket := range uint64(3) {
			h.request(unkeyed(ticket + 1))
		}
		Expect(h.placed).To(HaveLen(2))
		h.finish(1, attemptresult.Answered, 100*time.Millisecond)
		Expect(h.placed).To(HaveKeyWithValue(uint64(3), "x"))
	})

	It("answers a duplicate slot request with the same slot", func() {
		h := newHarness(false, server("x", "a", 2))
		h.request(unkeyed(1))
		h.placed = map[uint64]string{}
		h.request(unkeyed(1))
		Expect(h.placed).To(HaveKeyWithValue(uint64(1), "x"))
		Expect(h.pool.Running()).To(Equal(1))
	})

	It("serves the most urgent rank first, regardless of arrival", func() {
		h := newHarness(false, server("x", "a", 1))
		h.request(unkeyed(1))
		low, high := unkeyed(2), unkeyed(3)
		low.Rank = 2
		h.request(low)
		h.request(high)
		h.finish(1, attemptresult.Answered, 100*time.Millisecond)
		Expect(h.placed).To(HaveKey(uint64(3)))
		Expect(h.placed).NotTo(HaveKey(uint64(2)))
	})

	It("prefers the caller's data centre, and uses another one if no slot is free there", func() {
		h := newHarness(false, server("far", "b", 2), server("near", "a", 1))
		h.request(unkeyed(1))
		h.request(unkeyed(2))
		Expect(h.placed).To(Equal(map[uint64]string{1: "near", 2: "far"}))
	})

	It("refuses at once, with a RetryAfter, a request that would wait in the queue past its deadline", func() {
		h := newHarness(false, server("x", "a", 1))
		for ticket := range uint64(20) {
			r := unkeyed(ticket + 1)
			r.Deadline = h.now.Add(time.Second)
			h.request(r)
		}
		Expect(h.refused).NotTo(BeEmpty())
		for _, r := range h.refused {
			Expect(r.Reason).To(Equal(placement.Overload))
			Expect(r.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
		}
		Expect(len(h.refused) + h.pool.Waiting() + h.pool.Running()).To(Equal(20))
	})

	It("refuses before its deadline a waiting request that can no longer be served in time", func() {
		h := newHarness(false, server("x", "a", 1))
		for ticket := range uint64(5) {
			r := unkeyed(ticket + 1)
			r.Deadline = h.now.Add(time.Second)
			h.request(r)
		}
		h.advance(700 * time.Millisecond) // the first request still runs
		Expect(h.refused).NotTo(BeEmpty())
		Expect(h.now).To(BeTemporally("<", start.Add(time.Second)))
	})

	It("sends a request that is not idempotent to a failing server if there is no other", func() {
		h := newHarness(false, server("x", "a", 1))
		only := unkeyed(1)
		only.IsIdempotent = false
		h.request(only)
		h.finish(1, attemptresult.TimedOut, time.Second)
		h.advance(time.Second)
		next := unkeyed(2)
		next.IsIdempotent = false
		h.request(next)
		Expect(h.placed).To(HaveKeyWithValue(uint64(2), "x"))
	})

	It("blocks a server only for the host that can't reach it", func() {
		h := newHarness(false, server("x", "a", 4))
		ticketOf := func(host uint64) uint64 { return host<<32 | 1 }
		h.request(unkeyed(ticketOf(7)))
		h.finish(ticketOf(7), attemptresult.Unreachable, 0)
		h.request(unkeyed(ticketOf(7) + 1))
		Expect(h.refused).To(HaveKey(ticketOf(7) + 1))
		h.request(unkeyed(ticketOf(8)))
		Expect(h.placed).To(HaveKeyWithValue(ticketOf(8), "x"))
	})

	It("backs off a server that several hosts can't reach", func() {
		h := newHarness(false, server("x", "a", 4))
		for n := range uint64(2) {
			ticket := (n + 1) << 32
			h.request(unkeyed(ticket))
			h.finish(ticket, attemptresult.Unreachable, 0)
		}
		h.request(unkeyed(3 << 32))
		Expect(h.placed).NotTo(HaveKey(uint64(3 << 32)))
	})

	It("places nothing at a leaving server", func() {
		leaving := server("x", "a", 4).WithLeaving(start.Add(time.Second))
		h := newHarness(false, leaving)
		h.request(unkeyed(1))
		Expect(h.refused[1].Reason).To(Equal(placement.NoServers))
	})

	It("frees the slots that a host no longer holds", func() {
		h := newHarness(false, server("x", "a", 1))
		ticket := uint64(5) << 32
		h.request(unkeyed(ticket))
		h.request(unkeyed(ticket + 1))
		h.now = h.now.Add(2 * time.Second)
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
			return p.WithHeldSlots(5, map[uint64]bool{ticket + 1: true}, h.now.Add(-time.Second), h.now)
		})
		Expect(h.placed).To(HaveKey(ticket + 1))
	})

	It("counts a server's requests that did not come through the pool against its slots until the count expires", func() {
		h := newHarness(false, server("x", "a", 2))
		h.request(unkeyed(1))
		r := attemptresult.AttemptResult{Ticket: 1, Incarnation: "x@0", Status: attemptresult.Answered, Duration: time.Millisecond, Running: 3}
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithResult(r, h.now) })
		h.request(unkeyed(2))
		Expect(h.placed).NotTo(HaveKey(uint64(2)))
		h.advance(300 * time.Millisecond)
		Expect(h.placed).To(HaveKey(uint64(2)))
	})
})

var _ = Describe("a pool of a sharded service", func() {
	keyed := func(ticket uint64, key int) slotrequest.SlotRequest {
		return slotrequest.SlotRequest{Ticket: ticket, Key: key, IsIdempotent: true}
	}
	setOwners := func(h *harness, unserved ...keyrange.Range) {
		keys := keymap.New(holding.Holding{Range: keyrange.Range{From: 0, To: 99}, Owner: "x@0", Fence: 1},
			holding.Holding{Range: keyrange.Range{From: 100, To: 199}, Owner: "y@0", Fence: 2})
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithKeys(keys, unserved, h.now) })
	}

	It("places a key only at its owner", func() {
		h := newHarness(true, server("x", "a", 1), server("y", "a", 4))
		setOwners(h)
		h.request(keyed(1, 5))
		h.request(keyed(2, 6))
		h.request(keyed(3, 105))
		Expect(h.placed).To(Equal(map[uint64]string{1: "x", 3: "y"}))
	})

	It("holds requests for a moving key, and places them at the owner after the move", func() {
		h := newHarness(true, server("x", "a", 1), server("y", "a", 4))
		setOwners(h, keyrange.Range{From: 5, To: 5})
		h.request(keyed(1, 5))
		Expect(h.placed).To(BeEmpty())
		setOwners(h)
		Expect(h.placed).To(HaveKeyWithValue(uint64(1), "x"))
	})

	It("refuses a key that has had no owner for too long", func() {
		h := newHarness(true, server("x", "a", 1))
		h.request(keyed(1, 5))
		h.advance(time.Second)
		Expect(h.refused).To(BeEmpty())
		h.advance(time.Second)
		Expect(h.refused[1].Reason).To(Equal(placement.NoOwner))
	})

	It("refuses at once a key whose owner can't be reached", func() {
		h := newHarness(true, server("x", "a", 2))
		setOwners(h)
		h.request(keyed(1<<32, 5))
		h.finish(1<<32, attemptresult.Unreachable, 0)
		h.request(keyed(1<<32|1, 6))
		Expect(h.refused[1<<32|1].Reason).To(Equal(placement.Unreachable))
	})

	It("lists the keys of the waiting and the running requests of each owner", func() {
		h := newHarness(true, server("x", "a", 1), server("y", "a", 4))
		setOwners(h)
		h.request(keyed(1, 5))
		h.request(keyed(2, 6))
		loads := h.pool.OwnerLoads(h.now)
		Expect(loads["x@0"].Running).To(Equal([]int{5}))
		Expect(loads["x@0"].Waiting).To(Equal([]int{6}))
		Expect(loads["y@0"].Free).To(Equal(4))
	})
})

// Slow look-ups of a low rank must not delay urgent orders at the same service. The load is 24 orders of 150 ms per
// second and, during the burst, 40 look-ups of 880 ms per second: together 39 s of work per second for 26 slots.
var _ = It("serves urgent orders in time during a burst of slow look-ups, and refuses the rest early", func() {
	var servers []instance.Instance
	for i := range 13 {
		servers = append(servers, server(fmt.Sprint("s", i), "a", 2))
	}
	h := newHarness(false, servers...)
	type job struct {
		requestedAt, deadline time.Time
		serviceTime           time.Duration
		rank                  int
	}
	jobs := map[uint64]job{}
	ends := map[uint64]time.Time{}
	orders, inTime, refusedLate := 0, 0, 0
	ticket := uint64(0)
	for ms := range 12000 {
		h.now = start.Add(time.Duration(ms) * time.Millisecond)
		for id, j := range jobs {
			switch _, isPlaced := h.placed[id]; {
			case isPlaced && ends[id].IsZero():
				ends[id] = h.now.Add(j.serviceTime)
			case isPlaced && !h.now.Before(ends[id]):
				if j.rank == 0 && h.now.Sub(j.requestedAt) <= 500*time.Millisecond {
					inTime++
				}
				delete(jobs, id)
				h.finish(id, attemptresult.Answered, j.serviceTime)
			case !isPlaced:
				if _, isRefused := h.refused[id]; isRefused {
					if h.now.Sub(j.requestedAt) > (j.deadline.Sub(j.requestedAt))*3/4 {
						refusedLate++
					}
					delete(jobs, id)
				}
			}
		}
		add := func(rank int, serviceTime, objective, deadline time.Duration) {
			ticket++
			r := unkeyed(ticket)
			r.Rank, r.Objective, r.Deadline, r.IsIdempotent = rank, h.now.Add(objective), h.now.Add(deadline), rank > 0
			jobs[ticket] = job{requestedAt: h.now, deadline: r.Deadline, serviceTime: serviceTime, rank: rank}
			h.request(r)
		}
		if ms%42 == 0 && ms < 11000 { // leaves the last orders time to end
			orders++
			add(0, 150*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond)
		}
		if ms%25 == 0 && ms > 2000 && ms < 9000 {
			add(2, 880*time.Millisecond, 5*time.Second, 8*time.Second)
		}
		if ms%50 == 0 {
			h.advance(0)
		}
	}
	Expect(float64(inTime) / float64(orders)).To(BeNumerically(">=", 0.98))
	Expect(refusedLate).To(BeZero())
})

package pool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/announcement"
	"redwingsill/core/attemptresult"
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/slotrequest"
)

// refuseWithPause ends a request with a refusal in which its server asks for a pause.
func (h *harness) refuseWithPause(ticket uint64, pause time.Duration) {
	r := attemptresult.AttemptResult{Ticket: ticket, Incarnation: h.placed[ticket] + "@0", Status: attemptresult.Refused, Running: -1, Waiting: -1,
		Announcement: announcement.Announcement{Pause: pause}}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithResult(r, h.now) })
}

// otherHost is added to a ticket for the request of another host.
const otherHost = uint64(1) << 32

func keyed(ticket uint64) slotrequest.SlotRequest {
	return slotrequest.SlotRequest{Ticket: ticket, Key: 5, IsIdempotent: true}
}

// newOwner returns a harness in which the server x owns all keys.
func newOwner(slots int) *harness {
	h := newHarness(true, server("x", "a", slots), server("y", "a", slots))
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithKeys(keymap.New(holding.Holding{Range: keyrange.All(), Owner: "x@0", Fence: 1}), nil, h.now)
	})
	return h
}

var _ = Describe("a server that asks a host for a pause", func() {
	It("gets no requests of that host that others can run, whatever it answers to other hosts", func() {
		h := newHarness(false, server("x", "a", 3), server("y", "b", 9))
		h.request(unkeyed(1))
		h.request(unkeyed(otherHost | 1))
		Expect(h.placed).To(Equal(map[uint64]string{1: "x", otherHost | 1: "x"}))
		h.refuseWithPause(1, 5*time.Second)
		h.finish(otherHost|1, attemptresult.Answered, 100*time.Millisecond)
		for ticket := uint64(2); ticket < 9; ticket++ {
			h.request(unkeyed(ticket))
			Expect(h.placed).To(HaveKeyWithValue(ticket, "y"))
			h.finish(ticket, attemptresult.Answered, 100*time.Millisecond)
		}
		h.request(unkeyed(otherHost | 2))
		Expect(h.placed).To(HaveKey(otherHost | 2))
	})

	DescribeTable("has requests for its keys wait for the end of a short pause, or refused at once", func(pause time.Duration, rank int, isKeyed, isRefused bool) {
		h := newOwner(3)
		next := keyed(2)
		if !isKeyed {
			h = newHarness(false, server("x", "a", 3))
			next = unkeyed(2)
		}
		first := next
		first.Ticket = 1
		h.request(first)
		h.refuseWithPause(1, pause)
		next.Rank = rank
		next.Deadline = h.now.Add(2 * time.Second)
		h.request(next)
		if isRefused {
			Expect(h.refused).To(HaveKey(uint64(2)))
			Expect(h.refused[2].RetryAfter).To(BeNumerically(">=", pause+time.Duration(rank)*100*time.Millisecond))
			Expect(h.refused[2].RetryAfter).To(BeNumerically("<", pause+time.Duration(rank+1)*100*time.Millisecond))
			return
		}
		h.advance(pause - time.Millisecond)
		Expect(h.placed).NotTo(HaveKey(uint64(2)))
		Expect(h.refused).To(BeEmpty())
		h.advance(time.Millisecond)
		Expect(h.placed).To(HaveKeyWithValue(uint64(2), "x"))
	},
		Entry("keyed, short", 900*time.Millisecond, 0, true, false),
		Entry("keyed, short, of a late rank", 900*time.Millisecond, 3, true, false),
		Entry("keyed, long", 1500*time.Millisecond, 0, true, true),
		Entry("keyed, long, of a late rank", 1500*time.Millisecond, 3, true, true),
		Entry("keyed, beyond the deadline", 30*time.Second, 1, true, true),
		Entry("for the only server, short", 900*time.Millisecond, 0, false, false),
		Entry("for the only server, long", 1500*time.Millisecond, 2, false, true),
	)

	It("gets the waiting requests one at a time after the pause until it answers, the most urgent first", func() {
		h := newOwner(8)
		h.request(keyed(1))
		h.refuseWithPause(1, time.Second)
		for ticket := uint64(2); ticket < 6; ticket++ {
			r := keyed(ticket)
			r.Rank = int(6 - ticket)
			h.request(r)
		}
		h.advance(time.Second)
		Expect(h.pool.Running()).To(Equal(1))
		Expect(h.placed).To(HaveKey(uint64(5)))
		h.refuseWithPause(5, 500*time.Millisecond)
		Expect(h.pool.Running()).To(BeZero())
		h.advance(500 * time.Millisecond)
		Expect(h.placed).To(HaveKey(uint64(4)))
		Expect(h.pool.Running()).To(Equal(1))
		h.finish(4, attemptresult.Answered, 100*time.Millisecond)
		Expect(h.placed).To(HaveKey(uint64(2)))
		Expect(h.pool.Running()).To(Equal(2))
	})

	It("has the requests refused at once that the queue after the pause would make late", func() {
		h := newOwner(1)
		h.request(keyed(1))
		h.refuseWithPause(1, 900*time.Millisecond)
		for ticket := uint64(2); ticket < 22; ticket++ {
			r := keyed(ticket)
			r.Deadline = h.now.Add(2 * time.Second)
			h.request(r)
		}
		refusedAtOnce := len(h.refused)
		for end := h.now.Add(2 * time.Second); h.now.Before(end); {
			h.advance(150 * time.Millisecond)
			for ticket := range h.placed {
				h.finish(ticket, attemptresult.Answered, 150*time.Millisecond)
				delete(h.placed, ticket)
			}
		}
		Expect(refusedAtOnce).To(BeNumerically(">", 10))
		Expect(h.refused).To(HaveLen(refusedAtOnce))
	})

	It("gets no slots for a host that reports the pause without a result", func() {
		h := newHarness(false, server("x", "a", 3), server("y", "b", 9))
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithPause("x@0", 1, time.Minute, h.now) })
		h.request(unkeyed(1))
		h.request(unkeyed(otherHost | 1))
		Expect(h.placed).To(Equal(map[uint64]string{1: "x", otherHost | 1: "y"}))
	})
})

package pool_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/attemptresult"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
)

// answer ends a request after a time, with the slowdown of the server's machine told before the result, as by another host.
func (h *harness) answer(ticket uint64, duration time.Duration, percent int) {
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithSlowdown(ticket, percent, h.now), nil
	})
	h.finish(ticket, attemptresult.Answered, duration)
}

var _ = Describe("a pool of uneven servers", func() {
	It("keeps the long-term speed of a server through noisy moments", func() {
		h := newHarness(false, server("x", "a", 1), server("y", "a", 1))
		for ticket := uint64(1); ticket < 81; ticket += 2 {
			h.request(unkeyed(ticket))
			h.request(unkeyed(ticket + 1))
			for n := range uint64(2) {
				isNoisy := h.placed[ticket+n] == "x" && ticket%8 < 4
				if isNoisy {
					h.answer(ticket+n, 300*time.Millisecond, 300)
				} else {
					h.answer(ticket+n, 100*time.Millisecond, 100)
				}
			}
			h.advance(100 * time.Millisecond)
		}
		slowness := h.pool.Slowness()
		Expect(slowness["x@0"] / slowness["y@0"]).To(BeNumerically("<", 1.35)) // 1.86 without the reports
	})

	It("passes over a server that is slow at the moment, and returns once the report is old", func() {
		h := newHarness(false, server("x", "a", 3), server("y", "a", 3))
		for ticket := uint64(1); ticket < 41; ticket++ {
			h.request(unkeyed(ticket))
			h.advance(100 * time.Millisecond)
			h.answer(ticket, 100*time.Millisecond, 100)
		}
		h.request(unkeyed(50))
		slow := h.placed[50]
		h.answer(50, 100*time.Millisecond, 300)
		h.request(unkeyed(51))
		Expect(h.placed[51]).NotTo(Equal(slow))
		h.advance(300 * time.Millisecond)
		for ticket := uint64(52); ticket < 56; ticket++ {
			h.request(unkeyed(ticket))
		}
		Expect([]string{h.placed[52], h.placed[53], h.placed[54], h.placed[55]}).To(ContainElement(slow))
	})

	It("avoids no server while all refuse at random, and one that alone refuses", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for _, refusesAlone := range []bool{false, true} {
			h := newHarness(false, server("x", "a", 3), server("y", "a", 3), server("z", "a", 3))
			counts, free := map[string]int{}, 0
			for ticket := uint64(1); ticket < 401; ticket++ {
				r := unkeyed(ticket)
				r.IsIdempotent = false
				h.request(r)
				counts[h.placed[ticket]]++
				status := attemptresult.Answered
				if refusesAlone && h.placed[ticket] == "x" || !refusesAlone && random.Float64() < 0.55 {
					status = attemptresult.Refused
				}
				h.finish(ticket, status, 100*time.Millisecond)
				h.advance(20 * time.Millisecond)
				for _, load := range h.pool.OwnerLoads(h.now) {
					free += load.Free
				}
			}
			if refusesAlone {
				Expect(counts["x"]).To(BeNumerically("<", 40))
				continue
			}
			Expect(free).To(BeNumerically(">", 400*9*8/10)) // keys may move to these servers
		}
	})
})

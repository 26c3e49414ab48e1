package pool_test

import (
	"testing"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/slotrequest"
)

// Guards against requests that wait for a server to which nothing may be sent any more, and against a server whose evacuation
// has ended staying unused.
func TestRequestsForAShutOffOwnerAreRefusedAtOnce(t *testing.T) {
	owner := server("a", "ilo", 1)
	h := newHarness(true, owner.WithEvacuation(start.Add(time.Second)))
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithKeys(keymap.New(holding.Holding{Range: keyrange.All(), Owner: owner.Incarnation(), Fence: 1}), nil, h.now)
	})
	ask := func(ticket uint64) {
		h.request(slotrequest.SlotRequest{Ticket: ticket, Service: "s", Key: 7, DataCentre: "ilo", Objective: h.now.Add(time.Second), Deadline: h.now.Add(5 * time.Second)})
	}
	ask(1)
	ask(2)
	if h.placed[1] != "a" || h.placed[2] != "" || len(h.refused) > 0 {
		t.Fatalf("before the deadline: placed %v, refused %v", h.placed, h.refused)
	}
	h.now = start.Add(time.Second)
	ask(3)
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithTick(h.now) })
	if h.placed[3] != "" || h.refused[2].Reason != placement.NoOwner || h.refused[3].Reason != placement.NoOwner {
		t.Errorf("after the deadline: placed %v, refused %v", h.placed, h.refused)
	}
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithoutRequest(1, h.now) })
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithServers([]instance.Instance{owner}, h.now)
	})
	if ask(4); h.placed[4] != "a" {
		t.Errorf("after the end: placed %v, refused %v", h.placed, h.refused)
	}
}

package balance_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/assignment"
	"redwingsill/core/balance"
	"redwingsill/core/example"
	"redwingsill/core/requestrate"
	"redwingsill/core/unit"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Balance")
}

func newBalance(servers int, usable ...int) balance.Balance {
	b := balance.Balance{Configuration: example.Size{Hosts: 3, Servers: servers, ServerSlots: 2, HashSlots: 60, HotKeys: 5}.Configuration(),
		DataCentre: example.DataCentre, Usable: map[string]bool{}, MayMove: true}
	for _, n := range usable {
		b.Usable[serverName(n)] = true
	}
	return b
}

func serverName(n int) string { return fmt.Sprintf("inventario-%d", n) }

func hashSlotCounts(a assignment.Assignment) map[string]int {
	n := map[string]int{}
	for _, o := range a.HashSlots[example.Service] {
		n[o.Server]++
	}
	return n
}

var _ = Describe("a plan", func() {
	It("spreads the hash slots of an empty assignment evenly", func() {
		a := newBalance(4, 1, 2, 3, 4).Plan(assignment.Assignment{})
		Expect(hashSlotCounts(a)).To(Equal(map[string]int{serverName(1): 15, serverName(2): 15, serverName(3): 15, serverName(4): 15}))
	})

	It("moves only the hash slots of a lost server", func() {
		before := newBalance(4, 1, 2, 3, 4).Plan(assignment.Assignment{})
		after := newBalance(4, 1, 2, 3).Plan(before)
		Expect(before.MovedUnits(after)).To(HaveLen(15))
		Expect(hashSlotCounts(after)).To(Equal(map[string]int{serverName(1): 20, serverName(2): 20, serverName(3): 20}))
	})

	It("moves at most MaxMoves hash slots per plan to a new server, and no more than its share in total", func() {
		a := newBalance(4, 1, 2, 3).Plan(assignment.Assignment{})
		moved := 0
		for range 4 {
			next := newBalance(4, 1, 2, 3, 4).Plan(a)
			Expect(len(a.MovedUnits(next))).To(BeNumerically("<=", 8))
			moved += len(a.MovedUnits(next))
			a = next
		}
		Expect(moved).To(Equal(15))
		Expect(newBalance(4, 1, 2, 3, 4).Plan(a).MovedUnits(a)).To(BeEmpty(), "the plan does not converge")
	})

	It("keeps the owners of hash slots if no server is usable", func() {
		a := newBalance(2, 1, 2).Plan(assignment.Assignment{})
		Expect(a.MovedUnits(newBalance(2).Plan(a))).To(BeEmpty())
	})

	It("moves only the hot key, and only if that evens out the rates", func() {
		b := newBalance(2, 1, 2)
		a := b.Plan(assignment.Assignment{})
		hash := unit.HashKey("hot")
		from, _ := a.OwnerOfHash(example.Service, hash)
		other := serverName(1)
		if from == other {
			other = serverName(2)
		}
		b.RequestRates = []requestrate.RequestRate{{Service: example.Service, Server: from, Rate: 100}, {Service: example.Service, Server: other, Rate: 20},
			{Service: example.Service, Server: from, KeyHash: hash, Rate: 50}}
		next := b.Plan(a)
		Expect(a.MovedUnits(next)).To(HaveLen(1))
		to, _ := next.OwnerOfHash(example.Service, hash)
		Expect(to).To(Equal(other))
		b.RequestRates[1].Rate = 60
		Expect(a.MovedUnits(b.Plan(a))).To(BeEmpty())
	})

	It("returns the hot keys of a lost server to their hash slots", func() {
		b := newBalance(3, 1, 2, 3)
		a := b.Plan(assignment.Assignment{})
		hash := unit.HashKey("hot")
		a = a.WithOwner(unit.Unit{Service: example.Service, HashSlot: int(hash % 60), KeyHash: hash}, serverName(3))
		next := newBalance(3, 1, 2).Plan(a)
		server, _ := next.OwnerOfHash(example.Service, hash)
		Expect(server).NotTo(Equal(serverName(3)))
		Expect(next.HotKeys[example.Service]).To(BeEmpty())
	})
})

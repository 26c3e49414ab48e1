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

func inputs(servers int, usable ...int) balance.Balance {
	b := balance.Balance{Configuration: example.Size{Hosts: 3, Servers: servers, ServerSlots: 2, Slots: 60, HotKeys: 5}.Configuration(),
		DataCentre: example.DataCentre, Usable: map[string]bool{}, MayMove: true}
	for _, n := range usable {
		b.Usable[name(n)] = true
	}
	return b
}

func name(n int) string { return fmt.Sprintf("inventario-%d", n) }

func counts(a assignment.Assignment) map[string]int {
	n := map[string]int{}
	for _, o := range a.Slots[example.Service] {
		n[o.Server]++
	}
	return n
}

var _ = Describe("a plan", func() {
	It("spreads all slots evenly at first", func() {
		a := inputs(4, 1, 2, 3, 4).Plan(assignment.Assignment{})
		Expect(counts(a)).To(Equal(map[string]int{name(1): 15, name(2): 15, name(3): 15, name(4): 15}))
	})

	It("moves only the slots of a lost server", func() {
		before := inputs(4, 1, 2, 3, 4).Plan(assignment.Assignment{})
		after := inputs(4, 1, 2, 3).Plan(before)
		Expect(before.Moves(after)).To(HaveLen(15))
		Expect(counts(after)).To(Equal(map[string]int{name(1): 20, name(2): 20, name(3): 20}))
	})

	It("moves no more slots to a new server than its policy allows at once, and no more than its share in all", func() {
		a := inputs(4, 1, 2, 3).Plan(assignment.Assignment{})
		moved := 0
		for range 4 {
			next := inputs(4, 1, 2, 3, 4).Plan(a)
			Expect(len(a.Moves(next))).To(BeNumerically("<=", 8))
			moved += len(a.Moves(next))
			a = next
		}
		Expect(moved).To(Equal(15))
		Expect(inputs(4, 1, 2, 3, 4).Plan(a).Moves(a)).To(BeEmpty(), "the plan does not settle")
	})

	It("keeps slots where no server is left for them", func() {
		a := inputs(2, 1, 2).Plan(assignment.Assignment{})
		Expect(a.Moves(inputs(2).Plan(a))).To(BeEmpty())
	})

	It("moves a hot key alone, and only where that helps", func() {
		b := inputs(2, 1, 2)
		a := b.Plan(assignment.Assignment{})
		hash := unit.Hash("hot")
		from, _ := a.OwnerOf(example.Service, hash)
		other := name(1)
		if from == other {
			other = name(2)
		}
		b.Heats = []requestrate.RequestRate{{Service: example.Service, Server: from, Rate: 100}, {Service: example.Service, Server: other, Rate: 20},
			{Service: example.Service, Server: from, KeyHash: hash, Rate: 50}}
		next := b.Plan(a)
		Expect(a.Moves(next)).To(HaveLen(1))
		to, _ := next.OwnerOf(example.Service, hash)
		Expect(to).To(Equal(other))
		b.Heats[1].Rate = 60
		Expect(a.Moves(b.Plan(a))).To(BeEmpty())
	})

	It("gives the hot keys of a lost server back to their slots", func() {
		b := inputs(3, 1, 2, 3)
		a := b.Plan(assignment.Assignment{})
		hash := unit.Hash("hot")
		a = a.WithOwner(unit.Unit{Service: example.Service, Slot: int(hash % 60), Hash: hash}, name(3))
		next := inputs(3, 1, 2).Plan(a)
		server, _ := next.OwnerOf(example.Service, hash)
		Expect(server).NotTo(Equal(name(3)))
		Expect(next.HotKeys[example.Service]).To(BeEmpty())
	})
})

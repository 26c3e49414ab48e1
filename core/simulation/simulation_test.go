package simulation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/example"
	"redwingsill/core/simulation"
	"redwingsill/core/timing"
)

func TestSimulation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulation")
}

// newGroup returns a group whose backend servers run two requests at a time each, and whose keys hash to 32 hash slots.
func newGroup(hosts, servers int, seed uint64) *simulation.Simulation {
	size := example.Size{Hosts: hosts, Servers: servers, ServerSlots: 2, HashSlots: 32}
	return simulation.New(size.Configuration(), example.DataCentre, timing.Default(), seed)
}

// allServed returns a condition that holds if every unit is served.
func allServed(sim *simulation.Simulation) func() bool {
	return func() bool { return len(sim.ServingServers()) == len(sim.Units()) }
}

var _ = Describe("a group of hosts", func() {
	It("serves every unit within 5 s of its first start", func() {
		sim := newGroup(4, 5, 1)
		Expect(sim.AdvanceUntil(5*time.Second, allServed(sim))).To(BeTrue())
		GinkgoWriter.Println("served after", sim.Elapsed())
		Expect(sim.Violations()).To(BeEmpty())
	})

	DescribeTable("serves every unit again within 5 s of a fault", func(injectFault func(sim *simulation.Simulation)) {
		for seed := uint64(1); seed <= 10; seed++ {
			sim := newGroup(4, 5, seed)
			Expect(sim.AdvanceUntil(6*time.Second, allServed(sim))).To(BeTrue())
			sim.Advance(2 * time.Second)
			injectFault(sim)
			outages := sim.MeasureOutages(12*time.Second, 20*time.Millisecond, sim.Units())
			var longest time.Duration
			for _, length := range outages {
				longest = max(longest, length)
			}
			GinkgoWriter.Println("seed", seed, "longest outage", longest)
			Expect(longest).To(BeNumerically("<", 5*time.Second), "seed %d", seed)
			Expect(sim.Violations()).To(BeEmpty(), "seed %d", seed)
			Expect(allServed(sim)()).To(BeTrue())
		}
	},
		Entry("an entry host is killed", func(sim *simulation.Simulation) { sim.KillHost(nonLeaderOf(sim)) }),
		Entry("the leader is killed", func(sim *simulation.Simulation) { sim.KillHost(leaderOf(sim)) }),
		Entry("the leader is paused", func(sim *simulation.Simulation) { sim.PauseHost(leaderOf(sim)) }),
		Entry("the leader is partitioned from the platform", func(sim *simulation.Simulation) { sim.SetPartitioned(leaderOf(sim), "platform", true) }),
		Entry("the leader is partitioned from the other hosts", func(sim *simulation.Simulation) { isolate(sim, leaderOf(sim)) }),
		Entry("a host is partitioned from the other hosts", func(sim *simulation.Simulation) { isolate(sim, nonLeaderOf(sim)) }),
		Entry("a host shuts down", func(sim *simulation.Simulation) { sim.ShutDownHost(nonLeaderOf(sim)) }),
		Entry("the leader shuts down", func(sim *simulation.Simulation) { sim.ShutDownHost(leaderOf(sim)) }),
		Entry("the platform is down", func(sim *simulation.Simulation) { sim.SetPlatformFaults(true, false) }),
		Entry("the platform loses answers", func(sim *simulation.Simulation) { sim.SetPlatformFaults(false, true) }),
		Entry("the platform is down and a host is killed", func(sim *simulation.Simulation) {
			sim.SetPlatformFaults(true, false)
			sim.KillHost(nonLeaderOf(sim))
		}),
		Entry("the platform is down and the leader is killed", func(sim *simulation.Simulation) {
			sim.SetPlatformFaults(true, false)
			sim.KillHost(leaderOf(sim))
		}),
		Entry("a backend server is declared down", func(sim *simulation.Simulation) { sim.SetDownServers("inventario-1") }),
		Entry("a backend server is leaving", func(sim *simulation.Simulation) { sim.SetLeaving("inventario-1", true) }),
		Entry("a backend server is declared down and its lease holder's host is killed", func(sim *simulation.Simulation) {
			sim.SetDownServers("inventario-1")
			sim.KillHost(sim.Host(sim.HostNames()[0]).Snapshot().View.LeaseHolders["inventario-1"])
		}),
	)
})

// leaderOf returns the first host that considers itself the leader, running or not, or an empty string if there is none.
func leaderOf(sim *simulation.Simulation) string {
	for _, name := range sim.HostNames() {
		if _, ok := sim.Host(name).Group().Leader(); ok {
			return name
		}
	}
	return ""
}

// nonLeaderOf returns the first host that leaderOf does not return.
func nonLeaderOf(sim *simulation.Simulation) string {
	for _, name := range sim.HostNames() {
		if name != leaderOf(sim) {
			return name
		}
	}
	return ""
}

// isolate partitions a host from all other hosts, but not from the platform.
func isolate(sim *simulation.Simulation, name string) {
	for _, other := range sim.HostNames() {
		if other != name {
			sim.SetPartitioned(name, other, true)
		}
	}
}

// Guards against a failover of more than 5 s on a busy machine, where processes stall for parts of a second. Here every
// voter stalls right after it has elected the successor of a killed leader, while the platform is down.
var _ = It("serves every unit again within 5 s if the platform is down, the leader is killed and the voters for its successor stall", func() {
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newGroup(4, 5, seed)
		Expect(sim.AdvanceUntil(6*time.Second, allServed(sim))).To(BeTrue())
		sim.Advance(2 * time.Second)
		sim.SetPlatformFaults(true, false)
		sim.Advance(3 * time.Second)
		killed := leaderOf(sim)
		sim.KillHost(killed)
		began := sim.Elapsed()
		elected := ""
		Expect(sim.AdvanceUntil(4*time.Second, func() bool {
			for _, name := range sim.HostNames() {
				if _, ok := sim.Host(name).Group().Leader(); ok && name != killed {
					elected = name
				}
			}
			return elected != ""
		})).To(BeTrue(), "seed %d", seed)
		for _, name := range sim.HostNames() {
			if name != elected && name != killed {
				sim.PauseHost(name)
			}
		}
		sim.Advance(time.Duration(400+20*seed) * time.Millisecond)
		for _, name := range sim.HostNames() {
			if name != elected && name != killed {
				sim.ResumeHost(name)
			}
		}
		sim.AdvanceUntil(8*time.Second, allServed(sim))
		Expect(sim.Elapsed()-began).To(BeNumerically("<", 5*time.Second), "seed %d", seed)
		Expect(sim.Violations()).To(BeEmpty(), "seed %d", seed)
	}
})

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

func TestDrive(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulation")
}

func newCell(hosts, servers int, seed uint64) *simulation.Simulation {
	size := example.Size{Hosts: hosts, Servers: servers, ServerSlots: 2, Slots: 32}
	return simulation.New(size.Configuration(), example.DataCentre, timing.Default(), seed)
}

func allServed(d *simulation.Simulation) func() bool {
	return func() bool { return len(d.Serving()) == len(d.Units()) }
}

var _ = Describe("a cell", func() {
	It("serves every unit soon after a first start", func() {
		d := newCell(4, 5, 1)
		Expect(d.RunUntil(5*time.Second, allServed(d))).To(BeTrue())
		GinkgoWriter.Println("served after", d.Elapsed())
		Expect(d.Violations()).To(BeEmpty())
	})

	DescribeTable("serves every unit again within 5 s of a loss", func(fault func(d *simulation.Simulation)) {
		for seed := uint64(1); seed <= 10; seed++ {
			d := newCell(4, 5, seed)
			Expect(d.RunUntil(6*time.Second, allServed(d))).To(BeTrue())
			d.Run(2 * time.Second)
			fault(d)
			lost := d.Outage(12*time.Second, 20*time.Millisecond, d.Units())
			var worst time.Duration
			for _, length := range lost {
				worst = max(worst, length)
			}
			GinkgoWriter.Println("seed", seed, "longest without service", worst)
			Expect(worst).To(BeNumerically("<", 5*time.Second), "seed %d", seed)
			Expect(d.Violations()).To(BeEmpty(), "seed %d", seed)
			Expect(allServed(d)()).To(BeTrue())
		}
	},
		Entry("an entry host is killed", func(d *simulation.Simulation) { d.KillHost(notArbiter(d)) }),
		Entry("the arbiter is killed", func(d *simulation.Simulation) { d.KillHost(arbiterOf(d)) }),
		Entry("the arbiter is paused", func(d *simulation.Simulation) { d.PauseHost(arbiterOf(d)) }),
		Entry("the arbiter is cut from the platform", func(d *simulation.Simulation) { d.Cut(arbiterOf(d), "platform", true) }),
		Entry("the arbiter is cut from the other hosts", func(d *simulation.Simulation) { cutOff(d, arbiterOf(d)) }),
		Entry("a host is cut from the other hosts", func(d *simulation.Simulation) { cutOff(d, notArbiter(d)) }),
		Entry("a host leaves", func(d *simulation.Simulation) { d.LeaveHost(notArbiter(d)) }),
		Entry("the arbiter leaves", func(d *simulation.Simulation) { d.LeaveHost(arbiterOf(d)) }),
		Entry("the platform is down", func(d *simulation.Simulation) { d.SetPlatform(true, false) }),
		Entry("the platform loses answers", func(d *simulation.Simulation) { d.SetPlatform(false, true) }),
		Entry("the platform is down and a host is killed", func(d *simulation.Simulation) {
			d.SetPlatform(true, false)
			d.KillHost(notArbiter(d))
		}),
		Entry("the platform is down and the arbiter is killed", func(d *simulation.Simulation) {
			d.SetPlatform(true, false)
			d.KillHost(arbiterOf(d))
		}),
		Entry("a backend server is declared down", func(d *simulation.Simulation) { d.SetDown("inventario-1") }),
		Entry("a backend server is leaving", func(d *simulation.Simulation) { d.SetLeaving("inventario-1", true) }),
		Entry("a backend server is declared down and its steward's host is killed", func(d *simulation.Simulation) {
			d.SetDown("inventario-1")
			d.KillHost(d.Host(d.Names()[0]).Snapshot().View.LeaseHolders["inventario-1"])
		}),
	)
})

func arbiterOf(d *simulation.Simulation) string {
	for _, name := range d.Names() {
		if _, ok := d.Host(name).Group().Leader(); ok {
			return name
		}
	}
	return ""
}

func notArbiter(d *simulation.Simulation) string {
	for _, name := range d.Names() {
		if name != arbiterOf(d) {
			return name
		}
	}
	return ""
}

func cutOff(d *simulation.Simulation, name string) {
	for _, other := range d.Names() {
		if other != name {
			d.Cut(name, other, true)
		}
	}
}

// Hosts on a busy machine stall for parts of a second; here all do so that have just elected a lost arbiter's successor.
var _ = It("serves every unit again within 5 s where the platform is down, the arbiter is lost and its electors stall", func() {
	for seed := uint64(1); seed <= 20; seed++ {
		d := newCell(4, 5, seed)
		Expect(d.RunUntil(6*time.Second, allServed(d))).To(BeTrue())
		d.Run(2 * time.Second)
		d.SetPlatform(true, false)
		d.Run(3 * time.Second)
		lost := arbiterOf(d)
		d.KillHost(lost)
		began := d.Elapsed()
		elected := ""
		Expect(d.RunUntil(4*time.Second, func() bool {
			for _, name := range d.Names() {
				if _, ok := d.Host(name).Group().Leader(); ok && name != lost {
					elected = name
				}
			}
			return elected != ""
		})).To(BeTrue(), "seed %d", seed)
		for _, name := range d.Names() {
			if name != elected && name != lost {
				d.PauseHost(name)
			}
		}
		d.Run(time.Duration(400+20*seed) * time.Millisecond)
		for _, name := range d.Names() {
			if name != elected && name != lost {
				d.ResumeHost(name)
			}
		}
		d.RunUntil(8*time.Second, allServed(d))
		Expect(d.Elapsed()-began).To(BeNumerically("<", 5*time.Second), "seed %d", seed)
		Expect(d.Violations()).To(BeEmpty(), "seed %d", seed)
	}
})

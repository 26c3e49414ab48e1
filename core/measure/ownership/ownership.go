// Package ownership measures the ownership of keys under faults, in virtual time, against baselines.
package ownership

import (
	"slices"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/example"
	"redwingsill/core/measure/parallel"
	"redwingsill/core/simulation"
	"redwingsill/core/timing"
)

const (
	trials    = 10
	settle    = 8 * time.Second
	observed  = 15 * time.Second
	sampling  = 10 * time.Millisecond
	cellHosts = 4
	cellUnits = 64
	servers   = 14
)

// Ownership is a measurement. The same seed gives the same figures.
type Ownership struct {
	seed uint64
}

// New returns a measurement.
func New(seed uint64) Ownership { return Ownership{seed: seed} }

// Run measures all faults, and moves and loads for all strategies.
func (o Ownership) Run() any {
	var runs []func() faultResult
	for _, f := range faults {
		runs = append(runs, func() faultResult { return o.measure(f) })
	}
	return report{Seed: o.seed, Faults: parallel.Map(runs), Moves: o.moves(), Loads: o.loads()}
}

// measure does one fault to several cells.
func (o Ownership) measure(f fault) faultResult {
	result := faultResult{Fault: f.name, Trials: trials}
	var outages []time.Duration
	units := 0
	for trial := range trials {
		c := newTrial(o.seed*1000 + uint64(trial))
		before := c.Host(c.Names()[0]).Snapshot().Assignment
		f.act(c)
		lost := c.Outage(observed, sampling, c.Units())
		units += len(c.Units())
		for _, length := range lost {
			outages = append(outages, length)
		}
		after := c.newestAssignment()
		result.Moved += len(before.MovedUnits(after))
		if f.isLoss {
			result.LeastMoves += len(before.UnitsOf(lostServer))
		}
		result.KeysWithTwoOwner += len(c.Violations())
		result.NotServedAtEnd += len(c.Units()) - len(c.Serving())
	}
	slices.Sort(outages)
	result.Touched = float64(len(outages)) / float64(units)
	result.UnservedP50Millis = quantile(outages, 0.5)
	result.UnservedP99Millis = quantile(outages, 0.99)
	result.UnservedMaxMillis = quantile(outages, 1)
	return result
}

// newTrial returns a cell that serves every unit and has come to rest.
func newTrial(seed uint64) *trial {
	size := example.Size{Hosts: cellHosts, Servers: servers / 3, ServerSlots: 2, Slots: cellUnits, HotKeys: 16}
	c := &trial{Simulation: simulation.New(size.Configuration(), example.DataCentre, timing.Default(), seed)}
	c.Run(settle)
	c.RunUntil(settle, func() bool { return len(c.Serving()) == len(c.Units()) })
	return c
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}

// newestAssignment returns the newest assignment that any running host has.
func (c *trial) newestAssignment() assignment.Assignment {
	var newest assignment.Assignment
	for _, name := range c.Names() {
		a := c.Host(name).Snapshot().Assignment
		if a.Term > newest.Term || a.Term == newest.Term && a.Version > newest.Version {
			newest = a
		}
	}
	return newest
}

// Package ownership measures outages and ownership changes under faults in virtual time, and compares the key-to-server
// assignment with baselines.
package ownership

import (
	"slices"
	"time"

	"redwingsill/core/example"
	"redwingsill/core/measure/parallel"
	"redwingsill/core/simulation"
	"redwingsill/core/timing"
)

const (
	trialsPerFault = 10
	// settleTime lets a group complete its startup, and observationTime is the time over which outages are measured.
	settleTime       = 8 * time.Second
	observationTime  = 15 * time.Second
	samplingInterval = 10 * time.Millisecond
	groupHosts       = 4
	// groupHashSlots is the number of hash slots that the keys of a group under fault hash to.
	groupHashSlots = 64
	// serverCount is the number of servers for moves and loads; groups under fault have a third of it.
	serverCount = 14
)

// Benchmark measures ownership. The same seed gives the same results.
type Benchmark struct {
	seed uint64
}

// New returns a benchmark with the given seed.
func New(seed uint64) Benchmark { return Benchmark{seed: seed} }

// Run measures all faults, and the moves and loads of all strategies, and returns the report to print.
func (b Benchmark) Run() any {
	var runs []func() faultResult
	for _, f := range faults {
		runs = append(runs, func() faultResult { return b.measureFault(f) })
	}
	return report{Seed: b.seed, Faults: parallel.Map(runs), Moves: b.measureMoves(), Loads: b.measureLoads()}
}

// measureFault injects a fault into a new group for each trial and returns the combined result.
func (b Benchmark) measureFault(f fault) faultResult {
	result := faultResult{Fault: f.name, Trials: trialsPerFault}
	var outages []time.Duration
	units := 0
	for trial := range trialsPerFault {
		t := newTrial(b.seed*1000 + uint64(trial))
		before := t.Host(t.HostNames()[0]).Snapshot().Assignment
		f.inject(t)
		outagesByUnit := t.MeasureOutages(observationTime, samplingInterval, t.Units())
		units += len(t.Units())
		for _, length := range outagesByUnit {
			outages = append(outages, length)
		}
		after := t.newestAssignment()
		result.Moved += len(before.MovedUnits(after))
		if f.movesUnits {
			result.MinMoved += len(before.UnitsOf(failedServer))
		}
		result.OwnershipViolations += len(t.Violations())
		result.UnservedAtEnd += len(t.Units()) - len(t.ServingServers())
	}
	slices.Sort(outages)
	result.AffectedShare = float64(len(outages)) / float64(units)
	result.UnservedP50Millis = quantileMillis(outages, 0.5)
	result.UnservedP99Millis = quantileMillis(outages, 0.99)
	result.UnservedMaxMillis = quantileMillis(outages, 1)
	return result
}

// newTrial returns a group after settleTime. If it does not serve every unit by then, newTrial waits up to settleTime more.
func newTrial(seed uint64) *trial {
	size := example.Size{Hosts: groupHosts, Servers: serverCount / 3, ServerSlots: 2, HashSlots: groupHashSlots, HotKeys: 16}
	t := &trial{Simulation: simulation.New(size.Configuration(), example.DataCentre, timing.Default(), seed)}
	t.Advance(settleTime)
	t.AdvanceUntil(settleTime, func() bool { return len(t.ServingServers()) == len(t.Units()) })
	return t
}

// quantileMillis returns the q-quantile of sorted durations in milliseconds, or 0 if there are none.
func quantileMillis(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}

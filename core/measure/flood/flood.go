// Package flood measures the service of each rank under floods, in virtual time, against baselines.
package flood

import (
	"slices"

	"redwingsill/core/measure/parallel"
)

// Flood is a measurement. The same seed gives the same figures.
type Flood struct {
	seed uint64
}

// New returns a measurement.
func New(seed uint64) Flood { return Flood{seed: seed} }

// Run measures all deployments, policies and phases.
func (f Flood) Run() any {
	var runs []func() []result
	for _, d := range deployments {
		for _, p := range []policy{ranked{}, firstComeFirstServed{}, strictRanks{}, freeRetries{}, everyHostSends{}} {
			for _, ph := range phases {
				runs = append(runs, func() []result { return f.measure(d, p, ph) })
			}
		}
	}
	return report{Seed: f.seed, Results: slices.Concat(parallel.Map(runs)...)}
}

func (f Flood) measure(d deployment, p policy, ph phase) []result {
	run := newFleet(d, p, ph, f.seed)
	run.run()
	var results []result
	for _, r := range d.ranks {
		g := run.figures[r.Name]
		possible := run.possible()
		results = append(results, result{
			Deployment: d.name, Policy: nameOf(p), Phase: ph.name, Rank: r.Name,
			Offered: g.offered, Answered: g.answered, WithinTarget: g.within, Possible: int(possible[r.Name]),
			NotRun: g.notRun, Unknown: g.unknown, Waiting: max(0, g.offered-g.answered-g.notRun-g.unknown),
			P50Millis: quantile(g.waits, 50), P99Millis: quantile(g.waits, 99), P999Millis: quantile(g.waits, 99.9),
			RefusedP99: quantile(g.refusals, 99), RefusedLongest: float64(g.refusals.Max()) / 1000,
			FloorShare:    r.Floor,
			ReceivedShare: float64(g.answered) / (run.usable() * counted.Seconds()),
			Earned:        r.Worth * float64(g.within),
			Earnable:      r.Worth * possible[r.Name],
		})
	}
	return results
}

// usable returns the requests per second that the fleet could serve while figures were counted, by the times of service
// that were drawn.
func (f *fleet) usable() float64 {
	c := f.capacity() * float64(f.deployment.mean) * float64(f.draws) / float64(f.drawn)
	if f.phase.loses {
		c -= c / float64(f.deployment.servers) / 2
	}
	return c
}

// possible returns how many requests of each rank the capacity allows: the floors first, then the rest by worth.
func (f *fleet) possible() map[string]float64 {
	left := f.usable() * counted.Seconds()
	total := left
	got := map[string]float64{}
	for _, r := range f.deployment.ranks {
		got[r.Name] = min(float64(f.figures[r.Name].offered), r.Floor*total)
		left -= got[r.Name]
	}
	for _, r := range f.deployment.ranks {
		more := min(float64(f.figures[r.Name].offered)-got[r.Name], left)
		got[r.Name] += more
		left -= more
	}
	return got
}

// Package flood measures the service that each rank receives under overload, in virtual time, and compares it with baseline
// policies.
package flood

import (
	"slices"

	"redwingsill/core/measure/parallel"
)

// Benchmark measures service under overload. The same seed gives the same results.
type Benchmark struct {
	seed uint64
}

// New returns a benchmark with the given seed.
func New(seed uint64) Benchmark { return Benchmark{seed: seed} }

// Run measures every deployment under every policy and phase, and returns the report to print.
func (b Benchmark) Run() any {
	var runs []func() []result
	for _, d := range deployments {
		for _, p := range []policy{ranked{}, firstComeFirstServed{}, strictRanks{}, freeRetries{}, everyHostSends{}} {
			for _, ph := range phases {
				runs = append(runs, func() []result { return b.measure(d, p, ph) })
			}
		}
	}
	return report{Seed: b.seed, Results: slices.Concat(parallel.Map(runs)...)}
}

// measure simulates one deployment under one policy and phase and returns the result of each rank.
func (b Benchmark) measure(d deployment, p policy, ph phase) []result {
	fleet := newFleet(d, p, ph, b.seed)
	fleet.run()
	var results []result
	for _, r := range d.ranks {
		s := fleet.stats[r.Name]
		possible := fleet.possibleAnswers()
		results = append(results, result{
			Deployment: d.name, Policy: policyName(p), Phase: ph.name, Rank: r.Name,
			Offered: s.offered, Answered: s.answered, WithinTarget: s.withinTarget, Possible: int(possible[r.Name]),
			NotRun: s.notRun, Unknown: s.unknown, Unfinished: max(0, s.offered-s.answered-s.notRun-s.unknown),
			P50Millis: percentileMillis(s.responseTimes, 50), P99Millis: percentileMillis(s.responseTimes, 99), P999Millis: percentileMillis(s.responseTimes, 99.9),
			RefusedP99Millis: percentileMillis(s.refusalTimes, 99), RefusedMaxMillis: float64(s.refusalTimes.Max()) / 1000,
			FloorShare:    r.Floor,
			ReceivedShare: float64(s.answered) / (fleet.usableRate() * measurementWindow.Seconds()),
			Earned:        r.Worth * float64(s.withinTarget),
			Earnable:      r.Worth * possible[r.Name],
		})
	}
	return results
}

// usableRate returns the mean number of requests per second that the fleet could serve in the measurement window, at the mean
// of the drawn service times. A server lost in the middle of the window counts as half a server.
func (f *fleet) usableRate() float64 {
	rate := f.nominalRate() * float64(f.deployment.meanServiceTime) * float64(f.serviceTimeCount) / float64(f.serviceTimeSum)
	if f.phase.losesServer {
		rate -= rate / float64(f.deployment.servers) / 2
	}
	return rate
}

// possibleAnswers returns the number of requests of each rank that the usable capacity can serve. Floors are served first, and
// the rest of the capacity goes to the ranks by worth, the order in which the deployment lists them.
func (f *fleet) possibleAnswers() map[string]float64 {
	remaining := f.usableRate() * measurementWindow.Seconds()
	total := remaining
	possible := map[string]float64{}
	for _, r := range f.deployment.ranks {
		possible[r.Name] = min(float64(f.stats[r.Name].offered), r.Floor*total)
		remaining -= possible[r.Name]
	}
	for _, r := range f.deployment.ranks {
		more := min(float64(f.stats[r.Name].offered)-possible[r.Name], remaining)
		possible[r.Name] += more
		remaining -= more
	}
	return possible
}

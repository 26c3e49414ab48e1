package pool

import (
	"maps"
	"time"

	"redwingsill/core/servicetime"
)

// MeanServiceTime returns the mean service time over all ranks on a server of average speed.
func (p Pool) MeanServiceTime() time.Duration {
	total, count := 0.0, 0
	for _, t := range p.serviceTimes {
		n := min(t.Count(), maxRankWeight)
		total += float64(t.Mean(0)) * float64(n)
		count += n
	}
	if count == 0 {
		return defaultServiceTime
	}
	return time.Duration(total / float64(count))
}

// meanFailureRate returns the mean of the servers' failure rates.
func (p Pool) meanFailureRate() float64 {
	total := 0.0
	for _, s := range p.servers {
		total += s.failureRate
	}
	return total / float64(max(1, len(p.servers)))
}

// serviceTimeOf returns the mean service time of a rank on a server of average speed.
func (p Pool) serviceTimeOf(rank int) time.Duration {
	return p.serviceTimes[rank].Mean(defaultServiceTime)
}

func (p Pool) withServiceTime(rank int, duration time.Duration) Pool {
	next := make(map[int]servicetime.Average, len(p.serviceTimes)+1)
	maps.Copy(next, p.serviceTimes)
	next[rank] = next[rank].With(duration)
	p.serviceTimes = next
	return p
}

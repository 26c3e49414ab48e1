package pool

import (
	"time"

	"redwingsill/core/admission"
	"redwingsill/core/arrivalrate"
	"redwingsill/core/slotrequest"
)

// hotShare is the part of what a server can run from which one key counts as hot. Requests for hot keys don't count in the load that
// other keys meet, so that the excess of hot keys is refused and not that of their neighbours. Fewer than 20 keys can fill a server
// without being hot.
const hotShare = 0.05

// minFreeShare bounds from below the part of the capacity that more urgent ranks are expected to leave to a rank.
const minFreeShare = 0.05

// withArrival returns the pool with a request counted in the arrivals of queue n.
func (p Pool) withArrival(n int, r slotrequest.SlotRequest, now time.Time) Pool {
	if n == p.commonQueue() {
		if !p.needsOwner(r) {
			p.unkeyedArrivals = p.unkeyedArrivals.With(r.Rank, now)
		}
		return p
	}
	s := *p.servers[n]
	s.arrivals = s.arrivals.With(r.Rank, now)
	if p.isHot(n, r.Key, now) {
		s.hotArrivals = s.hotArrivals.With(r.Rank, now)
	}
	return p.withServer(n, s)
}

// isHot reports whether a key asks alone for a notable part of what the server of queue n can run.
func (p Pool) isHot(n, key int, now time.Time) bool {
	return p.keyLoad.Rate(key, now)*p.MeanServiceTime().Seconds() > hotShare*p.servers[n].concurrency(p.share)
}

// admissionOf returns what decides whether a request of queue n may wait.
func (p Pool) admissionOf(n int, r slotrequest.SlotRequest, now time.Time) admission.Admission {
	serviceTime, deviation := p.ownTimes(n, r.Rank, now)
	a := admission.Admission{Wait: p.expectedWait(n, r, now), ServiceTime: serviceTime, Deviation: deviation,
		ToObjective: r.Objective.Sub(now), ToDeadline: r.Deadline.Sub(now), IsRetry: r.IsRetry}
	if n != p.commonQueue() && a.Wait > 0 {
		a.Wait += p.servers[n].slowdown.Extra(serviceTime, now)
	}
	if p.restOfPause(n, r, now) == 0 { // the wait for the end of a pause has rules of its own
		a.Load = p.loadOf(n, r, now)
	}
	return a
}

// loadOf returns the work asked of queue n relative to what its servers can run, as it counts for a request. Those for hot keys
// count only for requests for hot keys.
func (p Pool) loadOf(n int, r slotrequest.SlotRequest, now time.Time) float64 {
	capacity, _ := p.queueCapacity(n, now)
	if capacity == 0 {
		return 0
	}
	rate := p.arrivalsOf(n).PerSecond(now)
	if n != p.commonQueue() && !p.isHot(n, r.Key, now) {
		rate = max(0, rate-p.servers[n].hotArrivals.PerSecond(now))
	}
	return rate * p.workOfArrival(n) / capacity
}

// workOfArrival returns the seconds that a server of average speed takes for one arrival at queue n. Requests that a server refuses take
// none: while servers refuse at random, many more requests arrive than run.
func (p Pool) workOfArrival(n int) float64 {
	refusalRate := 0.0
	if n != p.commonQueue() {
		refusalRate = p.servers[n].refusalRate
	} else {
		for _, s := range p.servers {
			refusalRate += s.refusalRate / float64(len(p.servers))
		}
	}
	return p.MeanServiceTime().Seconds() * (1 - refusalRate)
}

// Overloaded returns the number of servers, or 1 for all servers of a service without keys, that are asked for so much that requests
// that can only be late are refused.
func (p Pool) Overloaded(now time.Time) int {
	overloaded := 0
	for n := range p.queues {
		if capacity, _ := p.queueCapacity(n, now); capacity > 0 && admission.IsOverload(p.arrivalsOf(n).PerSecond(now)*p.workOfArrival(n)/capacity) {
			overloaded++
		}
	}
	return overloaded
}

// arrivalsOf returns the rate of arrivals at queue n.
func (p Pool) arrivalsOf(n int) arrivalrate.Rate {
	if n == p.commonQueue() {
		return p.unkeyedArrivals
	}
	return p.servers[n].arrivals
}

// freeShare returns the part of the capacity of queue n that the arrivals of more urgent ranks are expected to leave to a rank.
func (p Pool) freeShare(n, rank int, capacity float64, now time.Time) float64 {
	taken := p.arrivalsOf(n).MoreUrgentPerSecond(rank, now) * p.workOfArrival(n) / capacity
	return max(minFreeShare, 1-taken)
}

// ownTimes returns the mean service time of a rank and its mean deviation on the servers of queue n.
func (p Pool) ownTimes(n int, rank int, now time.Time) (time.Duration, time.Duration) {
	serviceTime, deviation := p.serviceTimeOf(rank), p.serviceTimes[rank].Deviation()
	if n != p.commonQueue() {
		return p.servers[n].ownTime(serviceTime, now), p.servers[n].ownTime(deviation, now)
	}
	return serviceTime, deviation
}

// timeInTime returns the service time by which an answer to a request of queue n counts as in time.
func (p Pool) timeInTime(n int, rank int, now time.Time) time.Duration {
	return admission.TimeInTime(p.ownTimes(n, rank, now))
}

// timesInTime returns timeInTime as a function of the rank. It keeps the last result, since the requests of a queue are looked at by
// rank, and thousands of them may wait.
func (p Pool) timesInTime(n int, now time.Time) func(rank int) time.Duration {
	last, result := -1, time.Duration(0)
	return func(rank int) time.Duration {
		if rank != last {
			last, result = rank, p.timeInTime(n, rank, now)
		}
		return result
	}
}

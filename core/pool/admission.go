package pool

import (
	"time"

	"redwingsill/core/admission"
	"redwingsill/core/slotrequest"
)

// dominantShare is the part of a server's arrivals from which one key counts as dominant. Its requests don't count in the load
// that other keys meet, so that its excess is refused and not theirs.
const dominantShare = 0.5

// withArrival returns the pool with a request counted in the arrivals of queue n.
func (p Pool) withArrival(n int, r slotrequest.SlotRequest, now time.Time) Pool {
	if n == p.commonQueue() {
		if !p.needsOwner(r) {
			p.unkeyedArrivals = p.unkeyedArrivals.With(now)
		}
		return p
	}
	s := *p.servers[n]
	s.arrivals = s.arrivals.With(now)
	s.dominantKey = s.dominantKey.With(r.Key)
	return p.withServer(n, s)
}

// admissionOf returns what decides whether a request of queue n may wait.
func (p Pool) admissionOf(n int, r slotrequest.SlotRequest, now time.Time) admission.Admission {
	serviceTime, deviation := p.ownTimes(n, r.Rank, now)
	a := admission.Admission{Wait: p.expectedWait(n, r, now), ServiceTime: serviceTime, Deviation: deviation,
		ToObjective: r.Objective.Sub(now), ToDeadline: r.Deadline.Sub(now)}
	if n != p.commonQueue() && a.Wait > 0 {
		a.Wait += p.servers[n].slowdown.Extra(serviceTime, now)
	}
	if p.restOfPause(n, r, now) == 0 { // the wait for the end of a pause has rules of its own
		a.Load = p.loadOf(n, r, now)
	}
	return a
}

// loadOf returns the work asked of queue n relative to what its servers can run, as it counts for a request. If one key has most
// of the arrivals, they count only for the requests of that key.
func (p Pool) loadOf(n int, r slotrequest.SlotRequest, now time.Time) float64 {
	capacity, _ := p.queueCapacity(n, now)
	if capacity == 0 {
		return 0
	}
	rate := p.unkeyedArrivals.PerSecond(now)
	if n != p.commonQueue() {
		s := p.servers[n]
		rate = s.arrivals.PerSecond(now)
		if key := s.dominantKey.Key(); key != slotrequest.NoKey && key != r.Key {
			if hot := p.keyLoad.Rate(key, now); hot >= dominantShare*rate {
				rate = max(0, rate-hot)
			}
		}
	}
	return rate * p.MeanServiceTime().Seconds() / capacity
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

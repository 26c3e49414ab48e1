package pool

import (
	"time"

	"redwingsill/core/arrival"
	"redwingsill/core/slotrequest"
)

// arrivalAt returns a new request of queue n as one that waits for a slot of its key's owner. The result is false if other servers can
// run the request, or fewer requests wait for the owner than it has slots: such a queue ends within one service time, and a late
// answer serves its callers better than a refusal.
func (p Pool) arrivalAt(n int, r slotrequest.SlotRequest, now time.Time) (arrival.Arrival, bool) {
	if n == p.commonQueue() || p.queues[n].Len() < p.servers[n].instance.Slots {
		return arrival.Arrival{}, false
	}
	return arrival.Arrival{Wait: p.expectedWait(n, r, now), ServiceTime: p.ownTime(p.servers[n], r.Rank), ToObjective: r.Objective.Sub(now)}, true
}

// ownTime returns the mean service time of a rank on a server.
func (p Pool) ownTime(s *server, rank int) time.Duration {
	return time.Duration(float64(p.serviceTimeOf(rank)) * max(minSlowness, s.slownessFactor()))
}

// showsSilence reports whether an attempt that timed out after the given time shows that the server does not answer. Less time may
// have been left for the request than the server needs, as after a long wait for the slot.
func (p Pool) showsSilence(s server, rank int, took time.Duration) bool {
	return took >= silenceFactor*p.ownTime(&s, rank)
}

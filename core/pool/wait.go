package pool

import (
	"time"

	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// expectedWait estimates how long a new request would wait for a slot in queue n: the work ahead of it divided by the
// queue's capacity, after the rest of a pause of the queue's server. It is 0 if queueCapacity returns 0.
func (p Pool) expectedWait(n int, r slotrequest.SlotRequest, now time.Time) time.Duration {
	capacity, ahead := p.queueCapacity(n, now)
	if capacity == 0 {
		return 0
	}
	for rank, count := range p.queues[n].Ahead(r) {
		ahead += float64(count) * float64(p.serviceTimeOf(rank))
	}
	return p.restOfPause(n, r, now) + time.Duration(ahead/capacity)
}

// restOfPause returns the rest of the pause that the server of queue n wants from the host of a request, or 0. It is 0 for the
// common queue, whose requests other servers can run.
func (p Pool) restOfPause(n int, r slotrequest.SlotRequest, now time.Time) time.Duration {
	if n == p.commonQueue() {
		return 0
	}
	return max(0, p.servers[n].pausedUntil[hostOf(r.Ticket)].Sub(now))
}

// queueCapacity returns the concurrency of the servers of queue n, and the work, in nanoseconds, that they are expected
// to do before a slot becomes free for the first waiting request. Both are 0 for the common queue if all servers are
// leaving or backing off, or if the service is sharded, since requests may then wait for an owner rather than a slot.
func (p Pool) queueCapacity(n int, now time.Time) (float64, float64) {
	total := 0.0
	switch {
	case n != p.commonQueue():
		total = p.servers[n].coldConcurrency(p.servers[n].concurrency(p.share), p.MeanServiceTime(), now)
	case p.isSharded:
		return 0, 0
	default:
		for _, s := range p.servers {
			if !s.instance.IsLeaving && !now.Before(s.backoffUntil) {
				total += s.coldConcurrency(s.concurrency(p.share), p.MeanServiceTime(), now)
			}
		}
	}
	// If the ends of the running requests are spread evenly, the first comes after 1/(total+1) of the mean service time.
	return total, float64(p.MeanServiceTime()) * total / (total + 1)
}

// concurrency returns how many slots of the server the pool may give out: its share of them, but at least one. They are
// converted to slots of a server of average speed.
func (s *server) concurrency(share float64) float64 {
	return max(1, float64(s.instance.Slots)*share) / max(minSlowness, s.slownessFactor())
}

// withoutUnservable returns the pool without the requests of queue n that are unlikely to be answered before their
// deadline, given the work ahead of them. It appends a refusal of each to the slice refused and returns that too.
func (p Pool) withoutUnservable(n int, refused []placement.Placement, now time.Time) (Pool, []placement.Placement) {
	capacity, ahead := p.queueCapacity(n, now)
	if capacity == 0 {
		return p, refused
	}
	p.queues[n].Each(func(r slotrequest.SlotRequest) bool {
		serviceTime := p.serviceTimeOf(r.Rank)
		wait := p.restOfPause(n, r, now) + time.Duration(ahead/capacity)
		if left := r.Deadline.Sub(now); wait+time.Duration(minServiceTimeFraction*float64(serviceTime)) > left {
			refused = append(refused, placement.Refuse{Ticket: r.Ticket, Reason: placement.Overload,
				RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait+serviceTime-left))})
			p = p.withoutWaiting(r.Ticket)
			return true
		}
		ahead += float64(serviceTime)
		return true
	})
	return p, refused
}

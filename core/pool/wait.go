package pool

import (
	"time"

	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// wait returns how long a request would wait for a slot in its queue.
func (p Pool) wait(n int, a slotrequest.SlotRequest, now time.Time) time.Duration {
	capacity, total := p.capacity(n, now)
	if capacity == 0 {
		return 0
	}
	for rank, ahead := range p.queues[n].Ahead(a) {
		total += float64(ahead) * float64(p.workOf(rank))
	}
	return time.Duration(total / capacity)
}

// capacity returns how many average requests the servers of a queue run at the same time, and the work after which their
// next slot is likely to be free. A queue without servers has none.
func (p Pool) capacity(n int, now time.Time) (float64, float64) {
	total := 0.0
	switch {
	case n != p.common():
		total = p.servers[n].capacity(p.share)
	case p.isDivided:
		return 0, 0
	default:
		for _, s := range p.servers {
			if !s.instance.IsLeaving && !now.Before(s.restUntil) {
				total += s.capacity(p.share)
			}
		}
	}
	return total, float64(p.WorkOf()) * total / (total + 1)
}

// capacity returns how many average requests a server runs at the same time.
func (s *server) capacity(share float64) float64 {
	return max(1, float64(s.instance.Slots)*share) / max(0.2, s.factor())
}

// withoutUnservable returns the pool without the requests of a queue that so much work is ahead of that they can't be
// answered in time any more, and the refusals with theirs.
func (p Pool) withoutUnservable(n int, refused []placement.Placement, now time.Time) (Pool, []placement.Placement) {
	capacity, ahead := p.capacity(n, now)
	if capacity == 0 {
		return p, refused
	}
	p.queues[n].Each(func(a slotrequest.SlotRequest) bool {
		work := p.workOf(a.Rank)
		wait := time.Duration(ahead / capacity)
		if left := a.Deadline.Sub(now); wait+time.Duration(leastPart*float64(work)) > left {
			refused = append(refused, placement.Refuse{Ticket: a.Ticket, Reason: placement.Overload,
				RetryAfter: min(retryMost, max(retryLeast, wait+work-left))})
			p = p.withoutWaiting(a.Ticket)
			return true
		}
		ahead += float64(work)
		return true
	})
	return p, refused
}

package pool

import (
	"slices"
	"time"

	"redwingsill/core/ask"
	"redwingsill/core/placement"
)

// wait returns how long a request would wait for a slot.
func (p Pool) wait(a ask.Ask, now time.Time) time.Duration {
	if p.isDivided && a.HasKey() {
		return p.waitAtOwner(a, now)
	}
	for life, s := range p.servers {
		if p.isOpen(s, now) && !slices.Contains(a.Excluded, life) {
			return 0
		}
	}
	capacity, busy := p.capacity(now)
	if capacity == 0 {
		return 0
	}
	total := busy
	for rank, n := range p.waiting.Ahead(a) {
		total += float64(n) * float64(p.workOf(rank))
	}
	return time.Duration(total / capacity)
}

// capacity returns how many average requests all servers run at the same time, and the work after which the next slot is
// likely to be free.
func (p Pool) capacity(now time.Time) (float64, float64) {
	total := 0.0
	for _, s := range p.servers {
		if !s.instance.IsLeaving && !now.Before(s.restUntil) {
			total += p.capacityOf(s)
		}
	}
	return total, float64(p.WorkOf()) * total / (total + 1)
}

func (p Pool) capacityOf(s server) float64 {
	return max(1, float64(s.instance.Slots)*p.share) / max(0.2, s.factor())
}

func (p Pool) waitAtOwner(a ask.Ask, now time.Time) time.Duration {
	life, ok := p.ownerOf(a)
	if !ok {
		return 0
	}
	s := p.servers[life]
	if s.free(p.share, now) > 0 {
		return 0
	}
	total := p.untilFree(s)
	p.waiting.Each(func(other ask.Ask) bool {
		if other.Rank > a.Rank {
			return false
		}
		if owner, ok := p.ownerOf(other); ok && owner == life {
			total += float64(p.workOf(other.Rank))
		}
		return true
	})
	return time.Duration(total / p.capacityOf(s))
}

// untilFree returns the work after which one of a busy server's slots is likely to be free.
func (p Pool) untilFree(s server) float64 {
	capacity := p.capacityOf(s)
	return float64(p.WorkOf()) * capacity / (capacity + 1)
}

// withoutUnservable returns the pool without the requests that so much work is ahead of that they can't be answered in
// time any more, and their refusals.
func (p Pool) withoutUnservable(now time.Time) (Pool, []placement.Placement) {
	ahead := map[string]float64{}
	capacities := map[string]float64{}
	var refused []placement.Placement
	p.waiting.Each(func(a ask.Ask) bool {
		queue := ""
		if p.isDivided && a.HasKey() {
			owner, ok := p.ownerOf(a)
			if !ok {
				return true
			}
			queue = owner
		}
		capacity, isKnown := capacities[queue]
		if !isKnown {
			busy := 0.0
			if queue == "" {
				capacity, busy = p.capacity(now)
			} else {
				s := p.servers[queue]
				capacity, busy = p.capacityOf(s), p.untilFree(s)
			}
			capacities[queue], ahead[queue] = capacity, busy
		}
		if capacity == 0 {
			return true
		}
		work := p.workOf(a.Rank)
		wait := time.Duration(ahead[queue] / capacity)
		if left := a.Deadline.Sub(now); wait+time.Duration(leastPart*float64(work)) > left {
			refused = append(refused, placement.Refuse{Ticket: a.Ticket, Reason: placement.Overload,
				RetryAfter: min(retryMost, max(retryLeast, wait+work-left))})
			return true
		}
		ahead[queue] += float64(work)
		return true
	})
	for _, r := range refused {
		p = p.withoutWaiting(r.Of())
	}
	return p, refused
}

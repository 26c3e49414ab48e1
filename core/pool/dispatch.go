package pool

import (
	"slices"
	"time"

	"redwingsill/core/ask"
	"redwingsill/core/instance"
	"redwingsill/core/placement"
)

// dispatched returns the pool after every request that can run now has a slot, and every one that is over is refused.
func (p Pool) dispatched(now time.Time) (Pool, []placement.Placement) {
	if p.waiting.Len() == 0 {
		return p, nil
	}
	if now.Sub(p.lateAt) >= lateEvery {
		p.waiting, p.lateAt = p.waiting.Late(now, p.workOf), now
	}
	var done []placement.Placement
	waiting := p.waiting
	waiting.Each(func(a ask.Ask) bool {
		if !now.Before(a.Deadline) {
			done = append(done, placement.Refuse{Ticket: a.Ticket, Reason: placement.Expired, RetryAfter: retryLeast})
			p = p.withoutWaiting(a.Ticket)
			return true
		}
		life, ok := p.choose(a, now)
		if ok {
			done = append(done, placement.Place{Ticket: a.Ticket, Life: life})
			p = p.withoutWaiting(a.Ticket).withRun(a, life, now)
			return true
		}
		if refusal, ok := p.hopeless(a, now); ok {
			done = append(done, refusal)
			p = p.withoutWaiting(a.Ticket)
			return true
		}
		return p.isDivided || p.hasRoom(now)
	})
	return p, done
}

func (p Pool) withRun(a ask.Ask, life string, now time.Time) Pool {
	p.runs = p.runs.Set(a.Ticket, run{life: life, rank: a.Rank, since: now, until: a.Deadline, host: uint32(a.Ticket >> 32), key: a.Key})
	s := p.servers[life]
	if s.running == 0 {
		s.oldest = now
	}
	s.running++
	s.usedAt = now
	return p.withServer(life, s)
}

// hopeless returns the refusal of a request that no server may run although there is time left.
func (p Pool) hopeless(a ask.Ask, now time.Time) (placement.Refuse, bool) {
	if a.HasKey() && p.isDivided {
		asked, _ := p.asked.Get(a.Ticket)
		if _, ok := p.ownerOf(a); !ok && now.Sub(asked) > ownerWait {
			return placement.Refuse{Ticket: a.Ticket, Reason: placement.NoOwner, RetryAfter: time.Second}, true
		}
		return placement.Refuse{}, false
	}
	for life, s := range p.servers {
		if !s.instance.IsLeaving && !slices.Contains(a.Excluded, life) {
			return placement.Refuse{}, false
		}
	}
	return placement.Refuse{Ticket: a.Ticket, Reason: placement.NoServers, RetryAfter: time.Second}, true
}

func (p Pool) hasRoom(now time.Time) bool {
	for _, s := range p.servers {
		if !s.instance.IsLeaving && s.free(p.share, now) > 0 {
			return true
		}
	}
	return false
}

// choose returns the life of the server that a request should run on now, and whether there is one.
func (p Pool) choose(a ask.Ask, now time.Time) (string, bool) {
	if p.isDivided && a.HasKey() {
		life, ok := p.ownerOf(a)
		if !ok {
			return "", false
		}
		s := p.servers[life]
		if s.free(p.share, now) <= 0 || now.Before(s.restUntil) || !s.instance.IsOpen(now) {
			return "", false
		}
		return life, true
	}
	best, bestCost := "", rankedCost{}
	for life, s := range p.servers {
		if !p.isOpen(s, a, now) || slices.Contains(a.Excluded, life) {
			continue
		}
		if c := p.cost(s, a, life, now); best == "" || c.isLess(bestCost) {
			best, bestCost = life, c
		}
	}
	return best, best != ""
}

func (p Pool) isOpen(s server, a ask.Ask, now time.Time) bool {
	switch {
	case s.instance.IsLeaving || s.free(p.share, now) <= 0 || now.Before(s.restUntil):
		return false
	case s.strikes > 0 && !a.MayRepeat:
		return false
	}
	return true
}

// cost ranks a server for a request: first whether the answer is likely to be in time, then whether it stays in the data
// centre, then how long it takes.
func (p Pool) cost(s server, a ask.Ask, life string, now time.Time) rankedCost {
	expected := s.expected(p.workOf(a.Rank), now)
	isInTime := float64(expected) <= abroadMargin*float64(a.Objective.Sub(now))
	isNear := s.instance.DataCentre == a.DataCentre
	c := rankedCost{expected: expected, life: life}
	if s.known < 3 && now.After(s.instance.WarmUntil) {
		c.expected = expected * 8 / 10 // a server that is hardly known is tried early
	}
	if s.failing > doubtful && !a.MayRepeat {
		c.class += 4
	}
	if !isInTime {
		c.class += 2
	} else if !isNear {
		c.class++
	}
	return c
}

// wait returns how long a request would wait for a slot.
func (p Pool) wait(a ask.Ask, now time.Time) time.Duration {
	if p.isDivided && a.HasKey() {
		return p.waitAtOwner(a, now)
	}
	capacity := 0.0
	for life, s := range p.servers {
		if s.instance.IsLeaving || now.Before(s.restUntil) || slices.Contains(a.Excluded, life) {
			continue
		}
		if s.free(p.share, now) > 0 && p.isOpen(s, a, now) {
			return 0
		}
		capacity += p.capacityOf(s)
	}
	if capacity == 0 {
		return 0
	}
	total := 0.0
	for rank, n := range p.waiting.Ahead(a) {
		total += float64(n) * float64(p.workOf(rank))
	}
	return time.Duration(total / capacity)
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
	total := 0.0
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

// InstanceOf returns the instance of a life.
func (p Pool) InstanceOf(life string) (instance.Instance, bool) {
	s, ok := p.servers[life]
	return s.instance, ok
}

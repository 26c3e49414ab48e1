package pool

import (
	"slices"
	"time"

	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// dispatchedAll returns the pool after every request that can run now has a slot.
func (p Pool) dispatchedAll(now time.Time) (Pool, []placement.Placement) {
	var all []placement.Placement
	for n := range p.queues {
		var done []placement.Placement
		p, done = p.dispatched(n, now)
		all = append(all, done...)
	}
	return p, all
}

// dispatchedAfter is the same after a slot of one server has become free.
func (p Pool) dispatchedAfter(life string, now time.Time) (Pool, []placement.Placement) {
	n, ok := p.find(life)
	if !ok {
		return p, nil
	}
	p, done := p.dispatched(n, now)
	p, more := p.dispatched(p.common(), now)
	return p, append(done, more...)
}

// dispatched returns the pool after every request of one queue that can run now has a slot, and those that are over or
// without hope are refused.
func (p Pool) dispatched(n int, now time.Time) (Pool, []placement.Placement) {
	if p.queues[n].Len() == 0 {
		return p, nil
	}
	var done []placement.Placement
	p.queues[n].Each(func(a slotrequest.SlotRequest) bool {
		if !now.Before(a.Deadline) {
			done = append(done, placement.Refuse{Ticket: a.Ticket, Reason: placement.Expired, RetryAfter: retryLeast})
			p = p.withoutWaiting(a.Ticket)
			return true
		}
		if s, ok := p.choose(n, a, now); ok {
			done = append(done, placement.Place{Ticket: a.Ticket, Life: p.servers[s].life})
			p = p.withoutWaiting(a.Ticket).withRun(a, s, now)
			return true
		}
		w, _ := p.waiting.Get(a.Ticket)
		if refusal, ok := p.hopeless(n, a, w.since, now); ok {
			done = append(done, refusal)
			p = p.withoutWaiting(a.Ticket)
			return true
		}
		return p.hasRoom(n, now)
	})
	return p, done
}

func (p Pool) withRun(a slotrequest.SlotRequest, n int, now time.Time) Pool {
	s := *p.servers[n]
	p.runs = p.runs.Set(a.Ticket, run{life: s.life, rank: a.Rank, since: now, until: a.Deadline, host: hostOf(a.Ticket), key: a.Key})
	if s.running == 0 {
		s.oldest = now
	}
	s.running++
	return p.withServer(n, s)
}

// hopeless returns the refusal of a request that no server may run although there is time left.
func (p Pool) hopeless(n int, a slotrequest.SlotRequest, since, now time.Time) (placement.Refuse, bool) {
	switch {
	case n != p.common():
		if s := p.servers[n]; now.Before(s.restUntil) || s.isBlocked(hostOf(a.Ticket), now) {
			return placement.Refuse{Ticket: a.Ticket, Reason: placement.Unreachable, RetryAfter: unreachableRetry}, true
		}
		return placement.Refuse{}, false
	case p.isOwned(a):
		return placement.Refuse{Ticket: a.Ticket, Reason: placement.NoOwner, RetryAfter: time.Second}, now.Sub(since) > ownerWait
	}
	for _, s := range p.servers {
		if !s.instance.IsLeaving && !s.isBlocked(hostOf(a.Ticket), now) && !slices.Contains(a.Excluded, s.life) {
			return placement.Refuse{}, false
		}
	}
	return placement.Refuse{Ticket: a.Ticket, Reason: placement.NoServers, RetryAfter: time.Second}, true
}

// hasRoom reports whether any server could run a request of a queue.
func (p Pool) hasRoom(n int, now time.Time) bool {
	if n != p.common() {
		return p.servers[n].free(p.share, now) > 0
	}
	return p.isDivided || slices.ContainsFunc(p.servers, func(s *server) bool { return p.isOpen(s, now) })
}

// choose returns the server that a request of a queue should run on now, and whether there is one.
func (p Pool) choose(n int, a slotrequest.SlotRequest, now time.Time) (int, bool) {
	host := hostOf(a.Ticket)
	if n != p.common() {
		s := p.servers[n]
		return n, s.free(p.share, now) > 0 && !now.Before(s.restUntil) && !s.isBlocked(host, now) && s.instance.AcceptsRequests(now)
	}
	if p.isOwned(a) {
		return 0, false
	}
	best, bestCost := -1, rankedCost{}
	work := p.workOf(a.Rank)
	for i, s := range p.servers {
		if !p.isOpen(s, now) || s.isBlocked(host, now) || slices.Contains(a.Excluded, s.life) {
			continue
		}
		if c := s.cost(a, work, now); best < 0 || c.isLess(bestCost) {
			best, bestCost = i, c
		}
	}
	return best, best >= 0
}

func (p Pool) isOpen(s *server, now time.Time) bool {
	return !s.instance.IsLeaving && s.free(p.share, now) > 0 && !now.Before(s.restUntil)
}

// cost ranks a server for a request: first whether the answer is likely to be in time, then whether it stays in the data
// centre, then how long it takes.
func (s *server) cost(a slotrequest.SlotRequest, work time.Duration, now time.Time) rankedCost {
	expected := s.expected(work, now)
	isInTime := float64(expected) <= abroadMargin*float64(a.Objective.Sub(now))
	c := rankedCost{expected: expected, life: s.life}
	if s.known < 3 && now.After(s.instance.WarmupEnd) {
		c.expected = expected * 8 / 10 // a server that is hardly known is tried early
	}
	if (s.failing > doubtful || s.strikes > 0) && !a.MayRepeat {
		c.class += 4 // what may repeat tries a doubtful server first
	}
	if !isInTime {
		c.class += 2
	} else if s.instance.DataCentre != a.DataCentre {
		c.class++
	}
	return c
}

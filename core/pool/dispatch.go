package pool

import (
	"slices"
	"time"

	"redwingsill/core/pausewait"
	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// withAllDispatched returns the pool after slots were given to the requests of all queues, as far as slots are free.
func (p Pool) withAllDispatched(now time.Time) (Pool, []placement.Placement) {
	var all []placement.Placement
	for n := range p.queues {
		var done []placement.Placement
		p, done = p.withDispatched(n, now)
		all = append(all, done...)
	}
	return p, all
}

// withDispatchedAfter dispatches the queues that can use a slot that has become free at one server: the server's own
// and the common queue.
func (p Pool) withDispatchedAfter(incarnation string, now time.Time) (Pool, []placement.Placement) {
	n, ok := p.serverIndex(incarnation)
	if !ok {
		return p, nil
	}
	p, done := p.withDispatched(n, now)
	p, more := p.withDispatched(p.commonQueue(), now)
	return p, append(done, more...)
}

// withDispatched returns the pool after slots were given to the requests of queue n, as far as slots are free. Requests
// whose deadline has passed or that no server can run are refused. [Pool.WithTick] refuses those that wait for an owner.
func (p Pool) withDispatched(n int, now time.Time) (Pool, []placement.Placement) {
	if p.queues[n].Len() == 0 || n == p.commonQueue() && p.isSharded && p.queues[n].Keyless() == 0 {
		return p, nil // thousands of requests may wait for an owner, and a free slot doesn't help them
	}
	var done []placement.Placement
	p.queues[n].Each(func(r slotrequest.SlotRequest) bool {
		if !now.Before(r.Deadline) {
			done = append(done, placement.Refuse{Ticket: r.Ticket, Reason: placement.Expired, RetryAfter: minRetryAfter})
			p = p.withoutWaiting(r.Ticket)
			return true
		}
		if s, ok := p.chooseServer(n, r, now); ok {
			done = append(done, placement.Place{Ticket: r.Ticket, Incarnation: p.servers[s].incarnation})
			p = p.withoutWaiting(r.Ticket).withRun(r, s, now)
			return true
		}
		queued, _ := p.waiting.Get(r.Ticket)
		if refusal, ok := p.refusalOf(n, r, queued.queuedAt, now); ok {
			done = append(done, refusal)
			p = p.withoutWaiting(r.Ticket)
			return true
		}
		return p.hasFreeSlot(n, now)
	})
	return p, done
}

// withUnownedRefused returns the pool without the requests that have waited too long for an owner of their keys, or whose
// deadline has passed meanwhile. It appends a refusal of each to the slice refused and returns that too.
func (p Pool) withUnownedRefused(refused []placement.Placement, now time.Time) (Pool, []placement.Placement) {
	n := p.commonQueue()
	if !p.isSharded {
		return p, refused
	}
	p.queues[n].Each(func(r slotrequest.SlotRequest) bool {
		if !p.needsOwner(r) {
			return true
		}
		queued, _ := p.waiting.Get(r.Ticket)
		refusal, ok := p.refusalOf(n, r, queued.queuedAt, now)
		if !now.Before(r.Deadline) {
			refusal, ok = placement.Refuse{Ticket: r.Ticket, Reason: placement.Expired, RetryAfter: minRetryAfter}, true
		}
		if ok {
			refused = append(refused, refusal)
			p = p.withoutWaiting(r.Ticket)
		}
		return true
	})
	return p, refused
}

// withRun returns the pool after a request got a slot at a server.
func (p Pool) withRun(r slotrequest.SlotRequest, n int, now time.Time) Pool {
	s := *p.servers[n]
	p.runs = p.runs.Set(r.Ticket, run{incarnation: s.incarnation, rank: r.Rank, startedAt: now, deadline: r.Deadline, host: hostOf(r.Ticket), key: r.Key})
	return p.withServer(n, s.withStart(now).withColdStart(p.share, now))
}

// refusalOf returns the refusal of a request of queue n whose deadline has not passed, and true if the request must be
// refused. The result is false if the request may wait.
func (p Pool) refusalOf(n int, r slotrequest.SlotRequest, queuedAt, now time.Time) (placement.Refuse, bool) {
	switch {
	case n != p.commonQueue():
		if p.servers[n].instance.IsShutOff(now) {
			return refusalOfShutOff(r), true
		}
		if s := p.servers[n]; s.isPausedFor(hostOf(r.Ticket), now) {
			return p.refusalDuringPause(r, s.pausedUntil[hostOf(r.Ticket)], now)
		}
		if s := p.servers[n]; now.Before(s.backoffUntil) || s.isBlockedFor(hostOf(r.Ticket), now) {
			return placement.Refuse{Ticket: r.Ticket, Reason: placement.Unreachable, RetryAfter: unreachableRetryAfter}, true
		}
		return placement.Refuse{}, false
	case p.needsOwner(r):
		return placement.Refuse{Ticket: r.Ticket, Reason: placement.NoOwner, RetryAfter: noServerRetryAfter}, now.Sub(queuedAt) > maxOwnerWait
	}
	var pausedUntil time.Time
	for _, s := range p.servers {
		if s.instance.IsLeaving || slices.Contains(r.Excluded, s.incarnation) {
			continue
		}
		if !s.isBlockedFor(hostOf(r.Ticket), now) {
			return placement.Refuse{}, false
		}
		if until := s.pausedUntil[hostOf(r.Ticket)]; now.Before(until) && (pausedUntil.IsZero() || until.Before(pausedUntil)) {
			pausedUntil = until
		}
	}
	if !pausedUntil.IsZero() {
		return p.refusalDuringPause(r, pausedUntil, now)
	}
	return placement.Refuse{Ticket: r.Ticket, Reason: placement.NoServers, RetryAfter: noServerRetryAfter}, true
}

// refusalDuringPause returns the refusal of a request that no server may get before a time, and whether it is refused.
func (p Pool) refusalDuringPause(r slotrequest.SlotRequest, until, now time.Time) (placement.Refuse, bool) {
	w := pausewait.PauseWait{Rest: until.Sub(now), Left: r.Deadline.Sub(now), ServiceTime: p.serviceTimeOf(r.Rank), Rank: r.Rank, Ticket: r.Ticket}
	return placement.Refuse{Ticket: r.Ticket, Reason: placement.Overload, RetryAfter: w.RetryAfter()}, w.IsRefused()
}

// isHeldBack reports whether a request of a host has to wait, since a pause of the server for that host has just ended and
// another request that was sent there since then has no result yet.
func (p Pool) isHeldBack(s *server, host uint32, now time.Time) bool {
	if !s.isReturning(host, now) {
		return false
	}
	for itr := p.runs.Iterator(); !itr.Done(); {
		if _, r, _ := itr.Next(); r.host == host && r.incarnation == s.incarnation && !r.startedAt.Before(s.pausedUntil[host]) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether a server that serves the queue has a free slot. It is always true for the common queue of
// a sharded service, where requests may wait for an owner rather than a slot.
func (p Pool) hasFreeSlot(n int, now time.Time) bool {
	if n != p.commonQueue() {
		return p.servers[n].freeSlots(p.share, now) > 0 && p.servers[n].mayStartAny(now)
	}
	return p.isSharded || slices.ContainsFunc(p.servers, func(s *server) bool { return p.isAvailable(s, now) })
}

// chooseServer returns the index of the server that a request of queue n should run on, and false if none can run it now.
func (p Pool) chooseServer(n int, r slotrequest.SlotRequest, now time.Time) (int, bool) {
	host := hostOf(r.Ticket)
	if n != p.commonQueue() {
		s := p.servers[n]
		return n, s.freeSlots(p.share, now) > 0 && !now.Before(s.backoffUntil) && !s.isBlockedFor(host, now) && s.instance.AcceptsRequests(now) &&
			s.mayStart(host, p.share, now) && !p.isHeldBack(s, host, now)
	}
	if p.needsOwner(r) {
		return 0, false
	}
	best, bestCost := -1, serverCost{}
	serviceTime := p.serviceTimeOf(r.Rank)
	for i, s := range p.servers {
		if !p.isAvailable(s, now) || s.isBlockedFor(host, now) || !s.mayStart(host, p.share, now) || slices.Contains(r.Excluded, s.incarnation) || p.isHeldBack(s, host, now) {
			continue
		}
		if c := s.cost(r, serviceTime, now); best < 0 || c.isLess(bestCost) {
			best, bestCost = i, c
		}
	}
	return best, best >= 0
}

// isAvailable reports whether the server can take one more request: it has a free slot and is neither leaving nor backing
// off.
func (p Pool) isAvailable(s *server, now time.Time) bool {
	return !s.instance.IsLeaving && s.freeSlots(p.share, now) > 0 && !now.Before(s.backoffUntil) && s.mayStartAny(now)
}

// cost returns the cost of running a request on the server. In falling weight it penalizes recent failures, an answer
// that is likely to be late and, if the answer is not late, a server in another data centre; then the expected time
// decides. Failures are ignored for idempotent requests, which can be retried elsewhere.
func (s *server) cost(r slotrequest.SlotRequest, serviceTime time.Duration, now time.Time) serverCost {
	expectedTime := s.expectedTime(serviceTime, now)
	isInTime := float64(expectedTime) <= objectiveFraction*float64(r.Objective.Sub(now))
	c := serverCost{expectedTime: expectedTime, incarnation: s.incarnation}
	if s.samples < minSamples && now.After(s.instance.WarmUpEnd) {
		c.expectedTime = expectedTime * 8 / 10 // prefers a server with few samples, so that it is measured early
	}
	if (s.failureRate > maxFailureRate || s.backoffs > 0) && !r.IsIdempotent {
		c.penalty += failurePenalty
	}
	if !isInTime {
		c.penalty += latePenalty
	} else if s.instance.DataCentre != r.DataCentre {
		c.penalty++
	}
	return c
}

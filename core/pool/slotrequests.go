package pool

import (
	"slices"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// WithRequest returns the pool after a slot request, and the placements that follow; there are none if the request
// waits. It is idempotent: a ticket that holds a slot gets the same slot again, and one that waits keeps its place.
func (p Pool) WithRequest(request slotrequest.SlotRequest, now time.Time) (Pool, []placement.Placement) {
	if r, ok := p.runs.Get(request.Ticket); ok {
		return p, []placement.Placement{placement.Place{Ticket: request.Ticket, Incarnation: r.incarnation}}
	}
	if _, ok := p.waiting.Get(request.Ticket); ok {
		return p, nil
	}
	if request.HasKey() && !request.IsRetry {
		p.keyLoad = p.keyLoad.WithRequest(request.Key, now)
	}
	if len(p.servers) == 0 {
		return p, []placement.Placement{placement.Refuse{Ticket: request.Ticket, Reason: placement.NoServers, RetryAfter: noServerRetryAfter}}
	}
	n := p.queueOf(request)
	if p.queues[n].Len() == 0 { // a request that can run at once is not queued
		if s, ok := p.chooseServer(n, request, now); ok {
			return p.withRun(request, s, now), []placement.Placement{placement.Place{Ticket: request.Ticket, Incarnation: p.servers[s].incarnation}}
		}
	}
	if refusal, ok := p.refusalOf(n, request, now, now); ok {
		return p, []placement.Placement{refusal}
	}
	// A request is refused unless at least half its service time, as in minServiceTimeFraction, is left after the wait.
	if wait, left := p.expectedWait(n, request, now), request.Deadline.Sub(now); wait > 0 && wait+p.serviceTimeOf(request.Rank)/2 > left {
		return p, []placement.Placement{placement.Refuse{Ticket: request.Ticket, Reason: placement.Overload,
			RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait+p.serviceTimeOf(request.Rank)-left))}}
	}
	if a, ok := p.arrivalAt(n, request, now); ok && a.IsRefused() {
		return p, []placement.Placement{placement.Refuse{Ticket: request.Ticket, Reason: placement.Overload,
			RetryAfter: min(maxRetryAfter, max(minRetryAfter, a.RetryAfter()))}}
	}
	p = p.withQueue(n, p.queues[n].With(request, p.willMissObjective(request, now)))
	p.waiting = p.waiting.Set(request.Ticket, queuedRequest{queue: n, queuedAt: now})
	return p.withDispatched(n, now)
}

// WithoutRequest returns the pool without a request whose caller has disconnected, and the placements that follow.
func (p Pool) WithoutRequest(ticket uint64, now time.Time) (Pool, []placement.Placement) {
	if _, ok := p.waiting.Get(ticket); ok {
		return p.withoutWaiting(ticket), nil
	}
	if r, ok := p.runs.Get(ticket); ok {
		return p.withoutRun(ticket, r).withDispatchedAfter(r.incarnation, now)
	}
	return p, nil
}

// WithResult returns the pool after an attempt has ended and freed its slot, and the placements that follow.
func (p Pool) WithResult(r attemptresult.AttemptResult, now time.Time) (Pool, []placement.Placement) {
	ended, ok := p.runs.Get(r.Ticket)
	if ok {
		p = p.withoutRun(r.Ticket, ended)
	}
	n, known := p.serverIndex(r.Incarnation)
	if !known {
		return p, nil
	}
	s := *p.servers[n]
	if r.HasLoad() { // the reported numbers include the answered request, which s.running() no longer counts
		s.externalRequests, s.externalAt = max(0, r.Running+r.Waiting-s.running()-1), now
	}
	host := hostOf(r.Ticket)
	if r.Announcement.Pause > 0 {
		s = s.withPause(host, r.Announcement.Pause, now)
	}
	if ok { // a repeated report of a result counts once
		s = s.withColdResult(r.Status, now)
		if s.instance.ColdRate > 0 && !s.instance.IsColdLimited(now) {
			s = s.withColdEvidence(r.Status, r.Duration, now)
		}
	}
	switch r.Status {
	case attemptresult.Answered:
		s = s.withReturned(host, now)
		s = s.withAttempt(false)
		s.backoffs, s.blockedUntil = 0, nil
		if ok {
			average := p.serviceTimeOf(ended.rank)
			p = p.withServiceTime(ended.rank, time.Duration(float64(r.Duration)/max(minSlowness, s.slownessFactor())))
			if now.After(s.instance.WarmUpEnd) {
				s = s.withResponseTime(min(maxRelativeTime, float64(r.Duration)/float64(max(average, minMeanServiceTime))))
			}
		}
	case attemptresult.Failed:
		s = s.withAttempt(true)
	case attemptresult.Refused:
		s = s.withAttempt(true)
	case attemptresult.Unreachable:
		s = s.withUnreachable(host, now)
	case attemptresult.TimedOut:
		if !ok || p.showsSilence(s, ended.rank, r.Duration) {
			s = s.withAttempt(true).withBackoff(now)
		}
	case attemptresult.Replaced:
		s = s.withAttempt(true).withBackoff(now)
	case attemptresult.NotOwner, attemptresult.Left, attemptresult.Unsent:
	}
	return p.withServer(n, s).withDispatchedAfter(r.Incarnation, now)
}

// WithPause returns the pool after a server asked for a pause for a host, and the placements that follow. Until its end the
// host gets no slots there. The host is the upper half of its tickets.
func (p Pool) WithPause(incarnation string, host uint32, pause time.Duration, now time.Time) (Pool, []placement.Placement) {
	n, ok := p.serverIndex(incarnation)
	if !ok {
		return p, nil
	}
	return p.withServer(n, p.servers[n].withPause(host, pause, now)).withDispatchedAfter(incarnation, now)
}

// WithHeldSlots returns the pool after the slots that a host no longer holds were freed, and the placements that follow.
// These are the slots given out before the given time whose tickets are not in held. Their results were lost on the way.
func (p Pool) WithHeldSlots(host uint32, held map[uint64]bool, before, now time.Time) (Pool, []placement.Placement) {
	return p.withoutRuns(func(ticket uint64, r run) bool {
		return r.host == host && !held[ticket] && r.startedAt.Before(before)
	}).withAllDispatched(now)
}

// WithTick returns the pool at now, and the placements that follow. It frees the slots of requests that are past their
// deadline without a result, and refuses waiting requests that can't be answered before their deadline.
func (p Pool) WithTick(now time.Time) (Pool, []placement.Placement) {
	p = p.withoutRuns(func(_ uint64, r run) bool { return now.After(r.deadline.Add(resultGrace)) })
	p.keyLoad = p.keyLoad.Pruned(now)
	p.queues = slices.Clone(p.queues)
	var refused []placement.Placement
	for n, q := range p.queues {
		if q.Len() > 0 {
			p.queues[n] = q.WithLateLast(now, p.serviceTimeOf)
			p, refused = p.withoutUnservable(n, refused, now)
		}
	}
	p, refused = p.withUnownedRefused(refused, now)
	p, placed := p.withAllDispatched(now)
	return p, append(refused, placed...)
}

// withoutRuns returns the pool after the slots of the runs for which isOver returns true were freed.
func (p Pool) withoutRuns(isOver func(ticket uint64, r run) bool) Pool {
	over := map[uint64]run{}
	for itr := p.runs.Iterator(); !itr.Done(); {
		if ticket, r, _ := itr.Next(); isOver(ticket, r) {
			over[ticket] = r
		}
	}
	for ticket, r := range over {
		p = p.withoutRun(ticket, r)
	}
	return p
}

// withoutWaiting returns the pool with the ticket's request removed from its queue.
func (p Pool) withoutWaiting(ticket uint64) Pool {
	queued, ok := p.waiting.Get(ticket)
	if !ok {
		return p
	}
	p.waiting = p.waiting.Delete(ticket)
	return p.withQueue(queued.queue, p.queues[queued.queue].Without(ticket))
}

// withoutRun returns the pool after a slot was freed.
func (p Pool) withoutRun(ticket uint64, r run) Pool {
	p.runs = p.runs.Delete(ticket)
	n, ok := p.serverIndex(r.incarnation)
	if !ok {
		return p
	}
	return p.withServer(n, p.servers[n].withoutStart(r.startedAt))
}

package pool

import (
	"slices"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// WithAsk returns the pool with one more request, and what became of it, if anything. A ticket that has a slot gets the
// same answer again, and one that waits goes on waiting.
func (p Pool) WithAsk(a slotrequest.SlotRequest, now time.Time) (Pool, []placement.Placement) {
	if r, ok := p.runs.Get(a.Ticket); ok {
		return p, []placement.Placement{placement.Place{Ticket: a.Ticket, Life: r.life}}
	}
	if _, ok := p.waiting.Get(a.Ticket); ok {
		return p, nil
	}
	if a.HasKey() && !a.IsRepeat {
		p.load = p.load.With(a.Key, now)
	}
	if len(p.servers) == 0 {
		return p, []placement.Placement{placement.Refuse{Ticket: a.Ticket, Reason: placement.NoServers, RetryAfter: time.Second}}
	}
	n := p.queueOf(a)
	if p.queues[n].Len() == 0 { // nothing is ahead of it: it need not be queued to be placed
		if s, ok := p.choose(n, a, now); ok {
			return p.withRun(a, s, now), []placement.Placement{placement.Place{Ticket: a.Ticket, Life: p.servers[s].life}}
		}
	}
	if refusal, ok := p.hopeless(n, a, now, now); ok {
		return p, []placement.Placement{refusal}
	}
	if wait, left := p.wait(n, a, now), a.Deadline.Sub(now); wait > 0 && wait+p.workOf(a.Rank)/2 > left {
		return p, []placement.Placement{placement.Refuse{Ticket: a.Ticket, Reason: placement.Overload,
			RetryAfter: min(retryMost, max(retryLeast, wait+p.workOf(a.Rank)-left))}}
	}
	p = p.withQueue(n, p.queues[n].With(a, p.isLate(a, now)))
	p.waiting = p.waiting.Set(a.Ticket, waiting{queue: n, since: now})
	return p.dispatched(n, now)
}

// WithoutAsk returns the pool without a request whose caller has left, and what that allows to run.
func (p Pool) WithoutAsk(ticket uint64, now time.Time) (Pool, []placement.Placement) {
	if _, ok := p.waiting.Get(ticket); ok {
		return p.withoutWaiting(ticket), nil
	}
	if r, ok := p.runs.Get(ticket); ok {
		return p.withoutRun(ticket, r).dispatchedAfter(r.life, now)
	}
	return p, nil
}

// WithReport returns the pool after a request has left its slot, and what that allows to run.
func (p Pool) WithReport(r attemptresult.AttemptResult, now time.Time) (Pool, []placement.Placement) {
	running, ok := p.runs.Get(r.Ticket)
	if ok {
		p = p.withoutRun(r.Ticket, running)
	}
	n, known := p.find(r.Life)
	if !known {
		return p, nil
	}
	s := *p.servers[n]
	if r.HasLoad() {
		s.foreign, s.foreignAt = max(0, r.Running+r.Waiting-s.running-1), now
	}
	switch r.Result {
	case attemptresult.Answered:
		s = s.withFailure(false)
		s.strikes, s.blocked = 0, nil
		if ok {
			average := p.workOf(running.rank)
			p = p.withWork(running.rank, time.Duration(float64(r.Took)/max(0.2, s.factor())))
			if now.After(s.instance.WarmupEnd) {
				s = s.withTime(min(8, float64(r.Took)/float64(max(average, time.Millisecond))))
			}
		}
	case attemptresult.Failed:
		s = s.withFailure(true)
	case attemptresult.Refused:
		s = s.withFailure(true)
	case attemptresult.Unreachable:
		s = s.withUnreachable(hostOf(r.Ticket), now)
	case attemptresult.Replaced, attemptresult.Silent:
		s = s.withFailure(true).withRest(now)
	case attemptresult.NotOwner, attemptresult.Left, attemptresult.Unsent:
	}
	return p.withServer(n, s).dispatchedAfter(r.Life, now)
}

// WithHeld returns the pool without the slots of a host that no longer uses them: those given out before a time that are
// not among the tickets that it names. It makes up for reports that were lost.
func (p Pool) WithHeld(host uint32, held map[uint64]bool, before, now time.Time) (Pool, []placement.Placement) {
	return p.withoutRuns(func(ticket uint64, r run) bool {
		return r.host == host && !held[ticket] && r.since.Before(before)
	}).dispatchedAll(now)
}

// WithTick returns the pool after some time: requests and slots whose time is over are gone, and so are requests that
// can't be served in time any more.
func (p Pool) WithTick(now time.Time) (Pool, []placement.Placement) {
	p = p.withoutRuns(func(_ uint64, r run) bool { return now.After(r.until.Add(runSlack)) })
	p.load = p.load.Pruned(now)
	p.queues = slices.Clone(p.queues)
	var refused []placement.Placement
	for n, q := range p.queues {
		if q.Len() > 0 {
			p.queues[n] = q.Late(now, p.workOf)
			p, refused = p.withoutUnservable(n, refused, now)
		}
	}
	p, placed := p.dispatchedAll(now)
	return p, append(refused, placed...)
}

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

func (p Pool) withoutWaiting(ticket uint64) Pool {
	w, ok := p.waiting.Get(ticket)
	if !ok {
		return p
	}
	p.waiting = p.waiting.Delete(ticket)
	return p.withQueue(w.queue, p.queues[w.queue].Without(ticket))
}

func (p Pool) withoutRun(ticket uint64, r run) Pool {
	p.runs = p.runs.Delete(ticket)
	n, ok := p.find(r.life)
	if !ok {
		return p
	}
	s := *p.servers[n]
	s.running = max(0, s.running-1)
	if s.running > 0 && s.oldest.Equal(r.since) {
		s.oldest = p.oldestOf(r.life)
	}
	return p.withServer(n, s)
}

func (p Pool) oldestOf(life string) time.Time {
	var oldest time.Time
	for itr := p.runs.Iterator(); !itr.Done(); {
		if _, r, _ := itr.Next(); r.life == life && (oldest.IsZero() || r.since.Before(oldest)) {
			oldest = r.since
		}
	}
	return oldest
}

package pool

import (
	"time"

	"redwingsill/core/ask"
	"redwingsill/core/placement"
	"redwingsill/core/report"
)

// WithAsk returns the pool with one more request, and what became of it, if anything. A ticket that has a slot gets the
// same answer again, and one that waits goes on waiting.
func (p Pool) WithAsk(a ask.Ask, now time.Time) (Pool, []placement.Placement) {
	if r, ok := p.runs.Get(a.Ticket); ok {
		return p, []placement.Placement{placement.Place{Ticket: a.Ticket, Life: r.life}}
	}
	if p.waiting.Has(a.Ticket) {
		return p, nil
	}
	if a.HasKey() && !a.IsRepeat {
		p.load = p.load.With(a.Key, now)
	}
	if len(p.servers) == 0 {
		return p, []placement.Placement{placement.Refuse{Ticket: a.Ticket, Reason: placement.NoServers, RetryAfter: time.Second}}
	}
	if wait, left := p.wait(a, now), a.Deadline.Sub(now); wait > 0 && wait+p.workOf(a.Rank)/2 > left {
		return p, []placement.Placement{placement.Refuse{Ticket: a.Ticket, Reason: placement.Overload,
			RetryAfter: min(retryMost, max(retryLeast, wait+p.workOf(a.Rank)-left))}}
	}
	p.waiting = p.waiting.With(a, now.Add(p.workOf(a.Rank)).After(a.Objective))
	p.asked = p.asked.Set(a.Ticket, now)
	return p.dispatched(now)
}

// WithoutAsk returns the pool without a request whose caller has left, and what that allows to run.
func (p Pool) WithoutAsk(ticket uint64, now time.Time) (Pool, []placement.Placement) {
	if p.waiting.Has(ticket) {
		return p.withoutWaiting(ticket), nil
	}
	if r, ok := p.runs.Get(ticket); ok {
		return p.withoutRun(ticket, r).dispatched(now)
	}
	return p, nil
}

// WithReport returns the pool after a request has left its slot, and what that allows to run.
func (p Pool) WithReport(r report.Report, now time.Time) (Pool, []placement.Placement) {
	running, ok := p.runs.Get(r.Ticket)
	if ok {
		p = p.withoutRun(r.Ticket, running)
	}
	s, known := p.servers[r.Life]
	if !known {
		return p.dispatched(now)
	}
	if r.HasLoad() {
		s.foreign, s.foreignAt = max(0, r.Running+r.Waiting-s.running-1), now
	}
	switch r.Result {
	case report.Answered:
		s = s.withFailure(false)
		s.strikes, s.blocked = 0, nil
		if ok {
			average := p.workOf(running.rank)
			p = p.withWork(running.rank, time.Duration(float64(r.Took)/max(0.2, s.factor())))
			if now.After(s.instance.WarmUntil) {
				s = s.withTime(min(8, float64(r.Took)/float64(max(average, time.Millisecond))))
			}
		}
	case report.Failed:
		s = s.withFailure(true)
	case report.Refused:
		s = s.withFailure(true)
	case report.Unreachable:
		s = s.withUnreachable(hostOf(r.Ticket), now)
	case report.Replaced, report.Silent:
		s = s.withFailure(true).withRest(now)
	case report.NotOwner, report.Left, report.Unsent:
	}
	return p.withServer(r.Life, s).dispatched(now)
}

// WithHeld returns the pool without the slots of a host that no longer uses them: those given out before a time that are
// not among the tickets that it names. It makes up for reports that were lost.
func (p Pool) WithHeld(host uint32, held map[uint64]bool, before, now time.Time) (Pool, []placement.Placement) {
	var over []uint64
	for itr := p.runs.Iterator(); !itr.Done(); {
		if ticket, r, _ := itr.Next(); r.host == host && !held[ticket] && r.since.Before(before) {
			over = append(over, ticket)
		}
	}
	if len(over) == 0 {
		return p, nil
	}
	for _, ticket := range over {
		r, _ := p.runs.Get(ticket)
		p = p.withoutRun(ticket, r)
	}
	return p.dispatched(now)
}

// WithTick returns the pool after some time: requests and slots whose time is over are gone.
func (p Pool) WithTick(now time.Time) (Pool, []placement.Placement) {
	var over []uint64
	for itr := p.runs.Iterator(); !itr.Done(); {
		if ticket, r, _ := itr.Next(); now.After(r.until.Add(runSlack)) {
			over = append(over, ticket)
		}
	}
	for _, ticket := range over {
		r, _ := p.runs.Get(ticket)
		p = p.withoutRun(ticket, r)
	}
	p.load = p.load.Pruned(now)
	return p.dispatched(now)
}

func (p Pool) withoutWaiting(ticket uint64) Pool {
	p.waiting = p.waiting.Without(ticket)
	p.asked = p.asked.Delete(ticket)
	return p
}

func (p Pool) withoutRun(ticket uint64, r run) Pool {
	p.runs = p.runs.Delete(ticket)
	s, ok := p.servers[r.life]
	if !ok {
		return p
	}
	s.running = max(0, s.running-1)
	if s.running > 0 && s.oldest.Equal(r.since) {
		s.oldest = p.oldestOf(r.life)
	}
	return p.withServer(r.life, s)
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

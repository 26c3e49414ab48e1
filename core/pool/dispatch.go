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
	var done []placement.Placement
	if now.Sub(p.lateAt) >= lateEvery {
		p.waiting, p.lateAt = p.waiting.Late(now, p.workOf), now
		p, done = p.withoutUnservable(now)
	}
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
	p.runs = p.runs.Set(a.Ticket, run{life: life, rank: a.Rank, since: now, until: a.Deadline, host: hostOf(a.Ticket), key: a.Key})
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
		life, ok := p.ownerOf(a)
		s := p.servers[life]
		switch {
		case !ok && now.Sub(asked) > ownerWait:
			return placement.Refuse{Ticket: a.Ticket, Reason: placement.NoOwner, RetryAfter: time.Second}, true
		case ok && (now.Before(s.restUntil) || s.isBlocked(hostOf(a.Ticket), now)):
			return placement.Refuse{Ticket: a.Ticket, Reason: placement.Unreachable, RetryAfter: unreachableRetry}, true
		}
		return placement.Refuse{}, false
	}
	for life, s := range p.servers {
		if !s.instance.IsLeaving && !s.isBlocked(hostOf(a.Ticket), now) && !slices.Contains(a.Excluded, life) {
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
		if s.free(p.share, now) <= 0 || now.Before(s.restUntil) || s.isBlocked(hostOf(a.Ticket), now) || !s.instance.IsOpen(now) {
			return "", false
		}
		return life, true
	}
	best, bestCost := "", rankedCost{}
	for life, s := range p.servers {
		if !p.isOpen(s, now) || s.isBlocked(hostOf(a.Ticket), now) || slices.Contains(a.Excluded, life) {
			continue
		}
		if c := p.cost(s, a, life, now); best == "" || c.isLess(bestCost) {
			best, bestCost = life, c
		}
	}
	return best, best != ""
}

func (p Pool) isOpen(s server, now time.Time) bool {
	return !s.instance.IsLeaving && s.free(p.share, now) > 0 && !now.Before(s.restUntil)
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
	if (s.failing > doubtful || s.strikes > 0) && !a.MayRepeat {
		c.class += 4 // what may repeat tries a doubtful server first
	}
	if !isInTime {
		c.class += 2
	} else if !isNear {
		c.class++
	}
	return c
}

// InstanceOf returns the instance of a life.
func (p Pool) InstanceOf(life string) (instance.Instance, bool) {
	s, ok := p.servers[life]
	return s.instance, ok
}

package leaseholder

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/outcome"
	"redwingsill/core/queueitem"
	"redwingsill/core/request"
	"redwingsill/core/unit"
)

// submit lets a request in, or tells at once why not.
func (s LeaseHolder) submit(e event.Submitted, now time.Time) (LeaseHolder, []effect.Effect) {
	r := e.Request
	u := s.unitOf(r.Service, r.Hash())
	if refusal := s.refusal(r.Hash(), u, now); refusal != nil {
		return s, s.tell(e.Ticket, refusal)
	}
	u.Hash = r.Hash()
	if r.RunsAtMostOnce() {
		if first, ok := s.pending[r.ID]; ok {
			s.waiters = withWaiter(s.waiters, first, e.Ticket)
			return s, nil
		}
		if kept, ok := s.memory.Find(r.ID); ok {
			return s, s.tell(e.Ticket, kept.Outcome())
		}
		if s.memory.MayHaveRun(u, r.IssuedAt) {
			return s, s.tell(e.Ticket, outcome.Unknown{Reason: "the request id is older than this steward's memory"})
		}
	}
	if r.Key != "" && e.Ticket%heatSample == 0 {
		s.hot = s.hot.With(r.Hash(), heatSample, now).With(0, heatSample, now)
	}
	if refusal := s.overload(r, now); refusal != nil {
		return s, s.tell(e.Ticket, refusal)
	}
	s.queue = s.queue.With(queueitem.QueueItem{Ticket: e.Ticket, Request: r, Unit: u, ArrivedAt: now}, now)
	s.retries = s.retries.WithRequest()
	if r.RunsAtMostOnce() {
		s.pending = maps.Clone(s.pending)
		s.pending[r.ID] = e.Ticket
	}
	return s, nil
}

// refusal returns why this steward may not serve a unit now, or nil.
func (s LeaseHolder) refusal(hash uint64, u unit.Unit, now time.Time) outcome.Outcome {
	switch {
	case !s.permit.IsValid(now):
		return outcome.NotRun{Reason: "this host has no valid permit for " + s.server.Name, Moved: true}
	case s.isReleased(hash, u):
		return outcome.NotRun{Reason: s.server.Name + " is being handed over", Moved: true}
	case hash != 0 && s.assignment.OwnerOfUnit(u) != s.server.Name:
		return outcome.NotRun{Reason: s.server.Name + " does not own " + u.String(), Moved: true}
	}
	return nil
}

// overload returns why a request of a rank can't be served in time, or nil.
func (s LeaseHolder) overload(r request.Request, now time.Time) outcome.Outcome {
	rank, remember := r.Rank, r.RunsAtMostOnce()
	wait := s.queue.EstimateWait(rank, r.Caller, s.pace.service(), s.pace.slots(s.server.Slots), now)
	retryAfter := max(10*time.Millisecond, wait/2)
	switch {
	case !s.queue.HasRank(rank):
		return outcome.NotRun{Reason: "rank " + rank + " is not declared"}
	case s.queue.IsFull(rank):
		return outcome.NotRun{Reason: "the queue of rank " + rank + " is full", RetryAfter: retryAfter}
	case remember && s.memory.IsFull():
		return outcome.NotRun{Reason: "the memory of request ids is full", RetryAfter: s.timing.OutcomeRetention}
	case float64(wait+s.pace.slowService()) > admission*float64(r.Deadline.Sub(now)):
		return outcome.NotRun{Reason: "the deadline can't be met", RetryAfter: retryAfter}
	}
	return nil
}

func withWaiter(m map[uint64][]uint64, first, ticket uint64) map[uint64][]uint64 {
	next := maps.Clone(m)
	next[first] = append(slices.Clone(next[first]), ticket)
	return next
}

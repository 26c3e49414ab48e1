package leaseholder

import (
	"maps"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/outcome"
	"redwingsill/core/queueitem"
)

// cancel ends the wait of a ticket. What already runs is cancelled at the backend server.
func (s LeaseHolder) cancel(e event.Cancelled, now time.Time) (LeaseHolder, []effect.Effect) {
	if run, ok := s.running[e.Ticket]; ok {
		if run.isOver || len(s.waiters[e.Ticket]) > 0 {
			return s, nil
		}
		return s, []effect.Effect{effect.Abort{Server: s.server.Name, Ticket: e.Ticket}}
	}
	for _, i := range s.queue.Items() {
		if i.Ticket == e.Ticket {
			s.queue = s.queue.Without(i)
			reason := "the caller has gone"
			if e.Late {
				reason = "the deadline passed in the queue"
			}
			return s.settle(i, outcome.NotRun{Reason: reason, RetryAfter: s.timing.HeartbeatInterval}, now)
		}
	}
	return s, nil
}

// finish ends an attempt.
func (s LeaseHolder) finish(e event.Finished, now time.Time) (LeaseHolder, []effect.Effect) {
	run, ok := s.running[e.Ticket]
	if !ok || run.isOver {
		return s, nil
	}
	s.running = maps.Clone(s.running)
	delete(s.running, e.Ticket)
	switch e.Outcome.(type) {
	case outcome.Answered:
		s.pace = s.pace.withAnswer(now.Sub(run.startedAt), s.server.Slots)
	case outcome.NotRun:
		if e.Shed {
			s.pace = s.pace.withShed(now)
		}
		if next, again := s.retries.WithRetry(); again && s.canRetry(run.item, now) {
			s.retries = next
			s.memory = s.memory.WithOutcome(run.item.Request.ID, e.Outcome)
			s.queue = s.queue.With(run.item, now)
			return s, nil
		}
	case outcome.Unknown:
		if now.Before(run.deadline.Add(s.timing.ClockSkew)) {
			run.isOver = true
			s.running[e.Ticket] = run
		}
	}
	return s.settle(run.item, e.Outcome, now)
}

func (s LeaseHolder) canRetry(i queueitem.QueueItem, now time.Time) bool {
	return s.refusal(i.Request.Hash(), i.Unit, now) == nil && now.Add(2*s.pace.service()).Before(i.Request.Deadline)
}

// settle tells an item's outcome to its ticket and to all that share it.
func (s LeaseHolder) settle(i queueitem.QueueItem, o outcome.Outcome, now time.Time) (LeaseHolder, []effect.Effect) {
	effects := s.tell(i.Ticket, o)
	if !i.Request.RunsAtMostOnce() {
		return s, effects
	}
	s.memory = s.memory.WithOutcome(i.Request.ID, o)
	s.pending = maps.Clone(s.pending)
	delete(s.pending, i.Request.ID)
	for _, ticket := range s.waiters[i.Ticket] {
		effects = append(effects, s.tell(ticket, o)...)
	}
	s.waiters = maps.Clone(s.waiters)
	delete(s.waiters, i.Ticket)
	return s, effects
}

// expire tells the requests whose deadline has passed in the queue that they did not run.
func (s LeaseHolder) expire(now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for _, i := range s.queue.Items() {
		if now.After(i.Request.Deadline) {
			var told []effect.Effect
			s.queue = s.queue.Without(i)
			s, told = s.settle(i, outcome.NotRun{Reason: "the deadline passed in the queue", RetryAfter: s.timing.HeartbeatInterval}, now)
			effects = append(effects, told...)
		}
	}
	return s, effects
}

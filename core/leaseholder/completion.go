package leaseholder

import (
	"maps"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/outcome"
	"redwingsill/core/queueitem"
)

// cancel completes a queued request with NotRun. It aborts the attempt of a running request unless repeats wait for the
// same outcome.
func (h LeaseHolder) cancel(e event.Cancelled, now time.Time) (LeaseHolder, []effect.Effect) {
	if run, ok := h.running[e.Ticket]; ok {
		if run.isUnresolved || len(h.waiters[e.Ticket]) > 0 {
			return h, nil
		}
		return h, []effect.Effect{effect.Abort{Server: h.server.Name, Ticket: e.Ticket}}
	}
	for _, item := range h.queue.Items() {
		if item.Ticket == e.Ticket {
			h.queue = h.queue.Without(item)
			reason := "the caller has gone"
			if e.DeadlinePassed {
				reason = "the deadline passed in the queue"
			}
			return h.completeAll(item, outcome.NotRun{Reason: reason, RetryAfter: h.timing.HeartbeatInterval}, now)
		}
	}
	return h, nil
}

// finish handles the end of an attempt. A refused request is queued again within the retry budget. An attempt with
// unknown outcome keeps its slot until the server must have stopped it.
func (h LeaseHolder) finish(e event.AttemptFinished, now time.Time) (LeaseHolder, []effect.Effect) {
	run, ok := h.running[e.Ticket]
	if !ok || run.isUnresolved {
		return h, nil
	}
	h.running = maps.Clone(h.running)
	delete(h.running, e.Ticket)
	switch e.Outcome.(type) {
	case outcome.Answered:
		h.limiter = h.limiter.withResponse(now.Sub(run.startedAt), h.server.Slots)
	case outcome.NotRun:
		if e.Shed {
			h.limiter = h.limiter.withShed(now)
		}
		if next, again := h.retries.WithRetry(); again && h.canRetry(run.item, now) {
			h.retries = next
			h.dedup = h.dedup.WithOutcome(run.item.Request.ID, e.Outcome)
			h.queue = h.queue.With(run.item, now)
			return h, nil
		}
	case outcome.Unknown:
		if now.Before(run.deadline.Add(h.timing.ClockSkew)) {
			run.isUnresolved = true
			h.running[e.Ticket] = run
		}
	}
	return h.completeAll(run.item, e.Outcome, now)
}

// canRetry reports whether the lease holder may still serve the item and the item's deadline is more than two mean
// service times away.
func (h LeaseHolder) canRetry(item queueitem.QueueItem, now time.Time) bool {
	return h.refusal(item.Request.Hash(), item.Unit, now) == nil && now.Add(2*h.limiter.meanServiceTime()).Before(item.Request.Deadline)
}

// completeAll completes an item and the repeats that wait for it, and records the outcome in the dedup table.
func (h LeaseHolder) completeAll(item queueitem.QueueItem, o outcome.Outcome, now time.Time) (LeaseHolder, []effect.Effect) {
	effects := h.complete(item.Ticket, o)
	if !item.Request.RunsAtMostOnce() {
		return h, effects
	}
	h.dedup = h.dedup.WithOutcome(item.Request.ID, o)
	h.ticketsByID = maps.Clone(h.ticketsByID)
	delete(h.ticketsByID, item.Request.ID)
	for _, ticket := range h.waiters[item.Ticket] {
		effects = append(effects, h.complete(ticket, o)...)
	}
	h.waiters = maps.Clone(h.waiters)
	delete(h.waiters, item.Ticket)
	return h, effects
}

// expireQueued completes with NotRun the queued requests whose deadline has passed.
func (h LeaseHolder) expireQueued(now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for _, item := range h.queue.Items() {
		if now.After(item.Request.Deadline) {
			var responses []effect.Effect
			h.queue = h.queue.Without(item)
			h, responses = h.completeAll(item, outcome.NotRun{Reason: "the deadline passed in the queue", RetryAfter: h.timing.HeartbeatInterval}, now)
			effects = append(effects, responses...)
		}
	}
	return h, effects
}

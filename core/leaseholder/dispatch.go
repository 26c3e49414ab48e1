package leaseholder

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/outcome"
	"redwingsill/core/queueitem"
)

// dispatch starts queued requests while the limiter allows more. A request that can no longer meet its deadline is
// completed with NotRun instead.
func (h LeaseHolder) dispatch(now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for h.lease.IsValid(now) && h.queue.Len() > 0 && h.limiter.canStart(len(h.running), h.server.Slots, now) {
		next, charged, ok := h.queue.Next(h.leavesSlotForOtherKeys)
		if !ok {
			break
		}
		if now.Add(h.limiter.highServiceTime()).After(next.Request.Deadline) {
			var responses []effect.Effect
			h.queue = h.queue.Without(next)
			h, responses = h.completeAll(next, outcome.NotRun{Reason: "the deadline can't be met", RetryAfter: h.timing.HeartbeatInterval}, now)
			effects = append(effects, responses...)
			continue
		}
		h.queue = charged.Without(next)
		deadline := earliest(next.Request.Deadline, now.Add(h.service.MaxAttempt.Std()), h.lease.Expiry)
		h.running = maps.Clone(h.running)
		h.running[next.Ticket] = runningAttempt{item: next, startedAt: now, deadline: deadline}
		if next.Request.RunsAtMostOnce() {
			h.dedup = h.dedup.WithStarted(next.Request.ID, next.Unit, now)
		}
		effects = append(effects, effect.Run{Server: h.server.Name, Ticket: next.Ticket, Request: next.Request,
			Grant: h.lease.Grant, Deadline: deadline})
	}
	return h, effects
}

// leavesSlotForOtherKeys reports whether starting the item leaves a slot for other keys. Within a rank, such items run
// first. On a server with one slot, one request of any key may run.
func (h LeaseHolder) leavesSlotForOtherKeys(item queueitem.QueueItem) bool {
	hash := item.Request.Hash()
	if hash == 0 {
		return true
	}
	sameKey := 0
	for _, run := range h.running {
		if run.item.Request.Hash() == hash {
			sameKey++
		}
	}
	return sameKey < max(1, h.server.Slots-1)
}

func earliest(times ...time.Time) time.Time {
	return slices.MinFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}

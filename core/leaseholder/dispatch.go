package leaseholder

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/outcome"
	"redwingsill/core/queueitem"
)

// dispatch starts as many requests as the backend server has room for.
func (s LeaseHolder) dispatch(now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	for s.permit.IsValid(now) && s.queue.Len() > 0 && s.pace.hasRoom(len(s.running), s.server.Slots, now) {
		next, charged, ok := s.queue.Next(s.leavesRoomForOtherKeys)
		if !ok {
			break
		}
		if now.Add(s.pace.slowService()).After(next.Request.Deadline) {
			var told []effect.Effect
			s.queue = s.queue.Without(next)
			s, told = s.settle(next, outcome.NotRun{Reason: "the deadline can't be met", RetryAfter: s.timing.HeartbeatInterval}, now)
			effects = append(effects, told...)
			continue
		}
		s.queue = charged.Without(next)
		deadline := earliest(next.Request.Deadline, now.Add(s.service.MaxAttempt.Std()), s.permit.Expiry)
		s.running = maps.Clone(s.running)
		s.running[next.Ticket] = running{item: next, startedAt: now, deadline: deadline}
		if next.Request.RunsAtMostOnce() {
			s.memory = s.memory.With(next.Request.ID, next.Unit, now)
		}
		effects = append(effects, effect.Run{Server: s.server.Name, Ticket: next.Ticket, Request: next.Request,
			Grant: s.permit.Grant, Deadline: deadline})
	}
	return s, effects
}

// leavesRoomForOtherKeys reports whether the item's key would still leave a slot to others.
func (s LeaseHolder) leavesRoomForOtherKeys(i queueitem.QueueItem) bool {
	hash := i.Request.Hash()
	if hash == 0 {
		return true
	}
	same := 0
	for _, run := range s.running {
		if run.item.Request.Hash() == hash {
			same++
		}
	}
	return same < max(1, s.server.Slots-1)
}

func earliest(times ...time.Time) time.Time {
	return slices.MinFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}

// Package steward decides what one backend server is asked to do, and when.
package steward

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/heat"
	"redwingsill/core/hotkeys"
	"redwingsill/core/load"
	"redwingsill/core/memory"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/permit"
	"redwingsill/core/queue"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/retry"
	"redwingsill/core/timing"
	"redwingsill/core/unit"
)

// maxRemembered bounds the request ids that one steward remembers.
const maxRemembered = 200_000

// heatSample is how many requests one counted request stands for.
const heatSample = 4

// admission is the share of the time until its deadline that a request may be expected to wait and run when it is let
// in. The rest is for what the estimate misses; work that is let in and then dropped is wasted waiting.
const admission = 0.6

// Steward is the state of the one sender to a backend server. It is immutable.
type Steward struct {
	server     resource.BackendServer
	service    resource.Service
	timing     timing.Timing
	permit     permit.Permit
	queue      queue.Queue
	running    map[uint64]running
	memory     memory.Memory
	adoptions  map[int64]message.Adopt
	assignment assignment.Assignment
	// releases are the orders of release that are not superseded yet, by id.
	releases map[int64]releasing
	// pending gives the ticket under which a request id waits or runs; waiters the tickets that share its outcome.
	pending map[string]uint64
	waiters map[uint64][]uint64
	pace    pace
	retries retry.Budget
	hot     hotkeys.HotKeys
	ranks   []resource.Rank
}

// New returns the steward of a backend server, without a permit.
func New(server resource.BackendServer, service resource.Service, ranks []resource.Rank, t timing.Timing) Steward {
	return Steward{
		server:    server,
		service:   service,
		timing:    t,
		queue:     queue.New(ranks),
		ranks:     ranks,
		running:   map[uint64]running{},
		memory:    memory.New(maxRemembered, t.Retention, t.Skew, time.Time{}),
		adoptions: map[int64]message.Adopt{},
		releases:  map[int64]releasing{},
		pending:   map[string]uint64{},
		waiters:   map[uint64][]uint64{},
		retries:   retry.New(),
	}
}

// Load returns the work at the backend server.
func (s Steward) Load() load.Load {
	return load.Load{Server: s.server.Name, Waiting: s.queue.Len(), Running: len(s.running), Slots: s.server.Slots}
}

// Queued returns the number of requests of a rank that wait.
func (s Steward) Queued(rank string) int { return s.queue.LenOf(rank) }

// Permit returns the newest permit, valid or not.
func (s Steward) Permit() permit.Permit { return s.permit }

// Remembered returns what is remembered of a request id.
func (s Steward) Remembered(id string) (memory.Entry, bool) { return s.memory.Find(id) }

// Heats returns the keys asked for at least rate times a second.
func (s Steward) Heats(rate float64, now time.Time) []heat.Heat {
	return s.hot.Top(s.service.Name, s.server.Name, rate, now)
}

// Serves reports whether the steward would take a request for a unit at now.
func (s Steward) Serves(u unit.Unit, now time.Time) bool {
	hash := u.Hash
	if hash == 0 {
		hash = uint64(u.Slot)
	}
	return s.permit.IsValid(now) && !s.isReleased(max(1, hash), u) && s.assignment.OwnerOfUnit(u) == s.server.Name
}

// Step returns the steward after an event, and what is to be done.
func (s Steward) Step(e event.Event, now time.Time) (Steward, []effect.Effect) {
	var effects []effect.Effect
	switch e := e.(type) {
	case event.Submitted:
		s, effects = s.submit(e, now)
	case event.Finished:
		s, effects = s.finish(e, now)
	case event.Cancelled:
		s, effects = s.cancel(e, now)
	case event.PermitChanged:
		s, effects = s.changePermit(e.Permit, now)
	case event.Assigned:
		s, effects = s.assign(e, now)
	case event.ReleaseAsked:
		s, effects = s.release(e.Release, now)
	case event.MemoryAdopted:
		s = s.adopt(e.Adopt, now)
	case event.Ticked:
		s, effects = s.tick(now)
	default:
	}
	s, more := s.dispatch(now)
	effects = append(effects, more...)
	s, more = s.finishReleases(now)
	return s, append(effects, more...)
}

// submit lets a request in, or tells at once why not.
func (s Steward) submit(e event.Submitted, now time.Time) (Steward, []effect.Effect) {
	r := e.Request
	u := s.unitOf(r.Service, r.Hash())
	if refusal := s.refusal(r.Hash(), u, now); refusal != nil {
		return s, s.tell(e.Ticket, refusal)
	}
	if r.MustNotRepeat() {
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
	s.queue, _ = s.queue.With(queue.Item{Ticket: e.Ticket, Request: r, Unit: u, Arrived: now}, now)
	s.retries = s.retries.WithRequest()
	if r.MustNotRepeat() {
		s.pending = maps.Clone(s.pending)
		s.pending[r.ID] = e.Ticket
	}
	return s, nil
}

// refusal returns why this steward may not serve a unit now, or nil.
func (s Steward) refusal(hash uint64, u unit.Unit, now time.Time) outcome.Outcome {
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
func (s Steward) overload(r request.Request, now time.Time) outcome.Outcome {
	rank, remember := r.Rank, r.MustNotRepeat()
	wait := s.queue.Wait(rank, r.Caller, s.pace.service(), s.pace.slots(s.server.Slots), now)
	retryAfter := max(10*time.Millisecond, wait/2)
	switch {
	case !s.queue.HasRank(rank):
		return outcome.NotRun{Reason: "rank " + rank + " is not declared"}
	case s.queue.IsFull(rank):
		return outcome.NotRun{Reason: "the queue of rank " + rank + " is full", RetryAfter: retryAfter}
	case remember && s.memory.IsFull():
		return outcome.NotRun{Reason: "the memory of request ids is full", RetryAfter: s.timing.Retention}
	case float64(wait+s.pace.slowService()) > admission*float64(r.Deadline.Sub(now)):
		return outcome.NotRun{Reason: "the deadline can't be met", RetryAfter: retryAfter}
	}
	return nil
}

// cancel ends the wait of a ticket. What already runs is cancelled at the backend server.
func (s Steward) cancel(e event.Cancelled, now time.Time) (Steward, []effect.Effect) {
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
			return s.settle(i, outcome.NotRun{Reason: reason, RetryAfter: s.timing.Beat}, now)
		}
	}
	return s, nil
}

// finish ends an attempt.
func (s Steward) finish(e event.Finished, now time.Time) (Steward, []effect.Effect) {
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
			s.queue, _ = s.queue.With(run.item, now)
			return s, nil
		}
	case outcome.Unknown:
		if now.Before(run.deadline.Add(s.timing.Skew)) {
			run.isOver = true
			s.running[e.Ticket] = run
		}
	}
	return s.settle(run.item, e.Outcome, now)
}

func (s Steward) canRetry(i queue.Item, now time.Time) bool {
	return s.refusal(i.Request.Hash(), i.Unit, now) == nil && now.Add(2*s.pace.service()).Before(i.Request.Deadline)
}

// settle tells an item's outcome to its ticket and to all that share it.
func (s Steward) settle(i queue.Item, o outcome.Outcome, now time.Time) (Steward, []effect.Effect) {
	effects := s.tell(i.Ticket, o)
	if !i.Request.MustNotRepeat() {
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

// dispatch starts as many requests as the backend server has room for.
func (s Steward) dispatch(now time.Time) (Steward, []effect.Effect) {
	var effects []effect.Effect
	for s.permit.IsValid(now) && s.queue.Len() > 0 && s.pace.hasRoom(len(s.running), s.server.Slots, now) {
		item, charged, ok := s.queue.Next(s.leavesRoomForOtherKeys)
		if !ok {
			break
		}
		if now.Add(s.pace.slowService()).After(item.Request.Deadline) {
			var told []effect.Effect
			s.queue = s.queue.Without(item)
			s, told = s.settle(item, outcome.NotRun{Reason: "the deadline can't be met", RetryAfter: s.timing.Beat}, now)
			effects = append(effects, told...)
			continue
		}
		s.queue = charged.Without(item)
		deadline := earliest(item.Request.Deadline, now.Add(s.service.MaxAttempt.Std()), s.permit.Expiry)
		s.running = maps.Clone(s.running)
		s.running[item.Ticket] = running{item: item, startedAt: now, deadline: deadline}
		if item.Request.MustNotRepeat() {
			s.memory = s.memory.With(item.Request.ID, item.Unit, now)
		}
		effects = append(effects, effect.Run{Server: s.server.Name, Ticket: item.Ticket, Request: item.Request,
			Grant: s.permit.Grant, Deadline: deadline})
	}
	return s, effects
}

// leavesRoomForOtherKeys reports whether the item's key would still leave a slot to others.
func (s Steward) leavesRoomForOtherKeys(i queue.Item) bool {
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

// tick drops what time has overtaken.
func (s Steward) tick(now time.Time) (Steward, []effect.Effect) {
	for ticket, run := range s.running {
		if run.isOver && now.After(run.deadline.Add(s.timing.Skew)) {
			s.running = maps.Clone(s.running)
			delete(s.running, ticket)
		}
	}
	s.memory = s.memory.WithoutOld(now)
	if !s.permit.IsValid(now) {
		return s.refuseQueued(func(queue.Item) bool { return true }, now)
	}
	return s.expire(now)
}

// expire tells the requests whose deadline has passed in the queue that they did not run.
func (s Steward) expire(now time.Time) (Steward, []effect.Effect) {
	var effects []effect.Effect
	for _, i := range s.queue.Items() {
		if now.After(i.Request.Deadline) {
			var told []effect.Effect
			s.queue = s.queue.Without(i)
			s, told = s.settle(i, outcome.NotRun{Reason: "the deadline passed in the queue", RetryAfter: s.timing.Beat}, now)
			effects = append(effects, told...)
		}
	}
	return s, effects
}

func (s Steward) tell(ticket uint64, o outcome.Outcome) []effect.Effect {
	return []effect.Effect{effect.Tell{Ticket: ticket, Outcome: o, Load: s.Load()}}
}

// unitOf returns the unit of a request, whose hash is always set where the request has one.
func (s Steward) unitOf(service string, hash uint64) unit.Unit {
	return s.assignment.UnitOf(service, hash)
}

func earliest(times ...time.Time) time.Time {
	return slices.MinFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}

func withWaiter(m map[uint64][]uint64, first, ticket uint64) map[uint64][]uint64 {
	next := maps.Clone(m)
	next[first] = append(slices.Clone(next[first]), ticket)
	return next
}

// Package leaseholder decides what one backend server is asked to do, and when.
package leaseholder

import (
	"maps"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/dedup"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/hotkeys"
	"redwingsill/core/idrecord"
	"redwingsill/core/lease"
	"redwingsill/core/load"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/queue"
	"redwingsill/core/queueitem"
	"redwingsill/core/requestrate"
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

// LeaseHolder is the state of the one sender to a backend server. It is immutable.
type LeaseHolder struct {
	server     resource.BackendServer
	service    resource.Service
	timing     timing.Timing
	permit     lease.Lease
	queue      queue.Queue
	running    map[uint64]running
	memory     dedup.Table
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
func New(server resource.BackendServer, service resource.Service, ranks []resource.Rank, t timing.Timing) LeaseHolder {
	return LeaseHolder{
		server:    server,
		service:   service,
		timing:    t,
		queue:     queue.New(ranks),
		ranks:     ranks,
		running:   map[uint64]running{},
		memory:    dedup.New(maxRemembered, t.OutcomeRetention, t.ClockSkew, time.Time{}),
		adoptions: map[int64]message.Adopt{},
		releases:  map[int64]releasing{},
		pending:   map[string]uint64{},
		waiters:   map[uint64][]uint64{},
		retries:   retry.New(),
	}
}

// Load returns the work at the backend server.
func (s LeaseHolder) Load() load.Load {
	return load.Load{Server: s.server.Name, Waiting: s.queue.Len(), Running: len(s.running), Slots: s.server.Slots}
}

// Queued returns the number of requests of a rank that wait.
func (s LeaseHolder) Queued(rank string) int { return s.queue.LenOf(rank) }

// Permit returns the newest permit, valid or not.
func (s LeaseHolder) Permit() lease.Lease { return s.permit }

// Remembered returns what is remembered of a request id.
func (s LeaseHolder) Remembered(id string) (idrecord.IDRecord, bool) { return s.memory.Find(id) }

// Heats returns the keys asked for at least rate times a second.
func (s LeaseHolder) Heats(rate float64, now time.Time) []requestrate.RequestRate {
	return s.hot.Top(s.service.Name, s.server.Name, rate, now)
}

// Serves reports whether the steward would take a request for a unit at now.
func (s LeaseHolder) Serves(u unit.Unit, now time.Time) bool {
	hash := u.Hash
	if hash == 0 {
		hash = uint64(u.Slot)
	}
	return s.permit.IsValid(now) && !s.isReleased(max(1, hash), u) && s.assignment.OwnerOfUnit(u) == s.server.Name
}

// Step returns the steward after an event, and what is to be done.
func (s LeaseHolder) Step(e event.Event, now time.Time) (LeaseHolder, []effect.Effect) {
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
		s = s.adopt(e.Adopt)
	case event.Ticked:
		s, effects = s.tick(now)
	default:
	}
	s, more := s.dispatch(now)
	effects = append(effects, more...)
	s, more = s.finishReleases(now)
	return s, append(effects, more...)
}

// tick drops what time has overtaken.
func (s LeaseHolder) tick(now time.Time) (LeaseHolder, []effect.Effect) {
	for ticket, run := range s.running {
		if run.isOver && now.After(run.deadline.Add(s.timing.ClockSkew)) {
			s.running = maps.Clone(s.running)
			delete(s.running, ticket)
		}
	}
	s.memory = s.memory.WithoutOld(now)
	if !s.permit.IsValid(now) {
		return s.refuseQueued(func(queueitem.QueueItem) bool { return true }, now)
	}
	return s.expire(now)
}

func (s LeaseHolder) tell(ticket uint64, o outcome.Outcome) []effect.Effect {
	return []effect.Effect{effect.Tell{Ticket: ticket, Outcome: o, Load: s.Load()}}
}

// unitOf returns the unit of a request, whose hash is always set where the request has one.
func (s LeaseHolder) unitOf(service string, hash uint64) unit.Unit {
	return s.assignment.UnitOf(service, hash)
}

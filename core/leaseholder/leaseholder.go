// Package leaseholder implements the state machine that admits, queues and dispatches the requests of one backend
// server.
package leaseholder

import (
	"maps"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/dedup"
	"redwingsill/core/dedupentry"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/hotkeys"
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

// maxDedupEntries is the capacity of one lease holder's dedup table, in request IDs.
const maxDedupEntries = 200_000

// rateSampleInterval is the sampling interval of the key rates, in tickets: only requests whose ticket is a multiple of
// it are counted, each with the interval as its weight.
const rateSampleInterval = 4

// admissionShare bounds the estimated time for which an admitted request waits and runs, as a share of the time left
// until its deadline. The rest allows for errors of the estimate, because a request that is admitted and then dropped
// has waited in vain.
const admissionShare = 0.6

// minRetryAfter is the shortest retry delay returned when the queue is full or the deadline can't be met.
const minRetryAfter = 10 * time.Millisecond

// LeaseHolder is an entry host's state for one backend server. While the host holds the server's lease, no other host
// sends requests to the server. A LeaseHolder is immutable.
type LeaseHolder struct {
	server  resource.BackendServer
	service resource.Service
	timing  timing.Timing
	lease   lease.Lease
	queue   queue.Queue
	running map[uint64]runningAttempt
	dedup   dedup.Table
	// adoptions are the received dedup entries by release ID, until the lease or assignment that they belong to
	// arrives.
	adoptions  map[int64]message.Adopt
	assignment assignment.Assignment
	// releases are the releases that no newer assignment has superseded, by ID.
	releases map[int64]releaseState
	// ticketsByID maps the ID of a waiting or running request to its ticket; waiters maps that ticket to the tickets of
	// repeats, which get the same outcome.
	ticketsByID map[string]uint64
	waiters     map[uint64][]uint64
	limiter     limiter
	retries     retry.Budget
	keyRates    hotkeys.HotKeys
	ranks       []resource.Rank
}

// New returns the lease holder of a backend server, without a lease.
func New(server resource.BackendServer, service resource.Service, ranks []resource.Rank, t timing.Timing) LeaseHolder {
	return LeaseHolder{
		server:      server,
		service:     service,
		timing:      t,
		queue:       queue.New(ranks),
		ranks:       ranks,
		running:     map[uint64]runningAttempt{},
		dedup:       dedup.New(maxDedupEntries, t.OutcomeRetention, t.ClockSkew, time.Time{}),
		adoptions:   map[int64]message.Adopt{},
		releases:    map[int64]releaseState{},
		ticketsByID: map[string]uint64{},
		waiters:     map[uint64][]uint64{},
		retries:     retry.New(),
	}
}

// Load returns the backend server's slots and its waiting and running requests. Attempts without a response count as
// running until their slots are free.
func (h LeaseHolder) Load() load.Load {
	return load.Load{Server: h.server.Name, Waiting: h.queue.Len(), Running: len(h.running), Slots: h.server.Slots}
}

// QueueLength returns the number of waiting requests of a rank.
func (h LeaseHolder) QueueLength(rank string) int { return h.queue.LenOf(rank) }

// Lease returns the newest lease, which may have expired.
func (h LeaseHolder) Lease() lease.Lease { return h.lease }

// DedupEntry returns the dedup entry of a request ID, and whether there is one.
func (h LeaseHolder) DedupEntry(id string) (dedupentry.DedupEntry, bool) { return h.dedup.Find(id) }

// HotKeyRates returns the rates of the keys that receive at least minRate requests per second. The rate of all requests
// with a key has KeyHash 0 and is included if it is at least minRate.
func (h LeaseHolder) HotKeyRates(minRate float64, now time.Time) []requestrate.RequestRate {
	return h.keyRates.Top(h.service.Name, h.server.Name, minRate, now)
}

// Serves reports whether the lease holder would accept a request for u at now.
func (h LeaseHolder) Serves(u unit.Unit, now time.Time) bool {
	hash := u.KeyHash
	// isReleased ignores releases of units if the hash is 0. A hash slot has no key hash, so its number stands in, which
	// is very unlikely to be the hash of a key.
	if hash == 0 {
		hash = uint64(u.HashSlot)
	}
	return h.lease.IsValid(now) && !h.isReleased(max(1, hash), u) && h.assignment.OwnerOfUnit(u) == h.server.Name
}

// Step returns the state after an event and the resulting effects.
func (h LeaseHolder) Step(e event.Event, now time.Time) (LeaseHolder, []effect.Effect) {
	var effects []effect.Effect
	switch e := e.(type) {
	case event.Submitted:
		h, effects = h.submit(e, now)
	case event.AttemptFinished:
		h, effects = h.finish(e, now)
	case event.Cancelled:
		h, effects = h.cancel(e, now)
	case event.LeaseChanged:
		h, effects = h.changeLease(e.Lease, now)
	case event.AssignmentChanged:
		h, effects = h.applyAssignment(e, now)
	case event.ReleaseRequested:
		h, effects = h.startRelease(e.Release, now)
	case event.DedupEntriesReceived:
		h = h.adoptEntries(e.Adopt)
	case event.Ticked:
		h, effects = h.tick(now)
	default:
	}
	h, more := h.dispatch(now)
	effects = append(effects, more...)
	h, more = h.finishReleases(now)
	return h, append(effects, more...)
}

// tick frees the slots of attempts without a response that must have ended, removes expired dedup entries, and
// completes with NotRun the queued requests whose deadline has passed, or all queued requests if the lease has expired.
func (h LeaseHolder) tick(now time.Time) (LeaseHolder, []effect.Effect) {
	for ticket, run := range h.running {
		if run.isUnresolved && now.After(run.deadline.Add(h.timing.ClockSkew)) {
			h.running = maps.Clone(h.running)
			delete(h.running, ticket)
		}
	}
	h.dedup = h.dedup.WithoutExpired(now)
	if !h.lease.IsValid(now) {
		return h.refuseQueued(func(queueitem.QueueItem) bool { return true }, now)
	}
	return h.expireQueued(now)
}

func (h LeaseHolder) complete(ticket uint64, o outcome.Outcome) []effect.Effect {
	return []effect.Effect{effect.CompleteRequest{Ticket: ticket, Outcome: o, Load: h.Load()}}
}

// unitOf returns the unit that a hash belongs to. Its KeyHash is set only for hot keys.
func (h LeaseHolder) unitOf(service string, hash uint64) unit.Unit {
	return h.assignment.UnitOf(service, hash)
}

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

// submit queues a request. A request that is refused, has run or may have run is completed at once; a request with the
// ID of a queued or running one gets the same outcome as that one.
func (h LeaseHolder) submit(e event.Submitted, now time.Time) (LeaseHolder, []effect.Effect) {
	r := e.Request
	u := h.unitOf(r.Service, r.Hash())
	if refusal := h.refusal(r.Hash(), u, now); refusal != nil {
		return h, h.complete(e.Ticket, refusal)
	}
	// The dedup entry keeps the key hash too, so that a handover of this key without its hash slot includes the entry.
	u.KeyHash = r.Hash()
	if r.RunsAtMostOnce() {
		if first, ok := h.ticketsByID[r.ID]; ok {
			h.waiters = withWaiter(h.waiters, first, e.Ticket)
			return h, nil
		}
		if entry, ok := h.dedup.Find(r.ID); ok {
			return h, h.complete(e.Ticket, entry.Outcome())
		}
		if h.dedup.MayHaveRun(u, r.IssuedAt) {
			// The texts of this file are sent to callers and keep older terms: steward for lease holder, permit for lease and
			// memory for dedup table.
			return h, h.complete(e.Ticket, outcome.Unknown{Reason: "the request id is older than this steward's memory"})
		}
	}
	if r.Key != "" && e.Ticket%rateSampleInterval == 0 {
		// Hash 0 counts the requests for all keys.
		h.keyRates = h.keyRates.With(r.Hash(), rateSampleInterval, now).With(0, rateSampleInterval, now)
	}
	if refusal := h.overloadRefusal(r, now); refusal != nil {
		return h, h.complete(e.Ticket, refusal)
	}
	h.queue = h.queue.With(queueitem.QueueItem{Ticket: e.Ticket, Request: r, Unit: u, ArrivedAt: now}, now)
	h.retries = h.retries.WithRequest()
	if r.RunsAtMostOnce() {
		h.ticketsByID = maps.Clone(h.ticketsByID)
		h.ticketsByID[r.ID] = e.Ticket
	}
	return h, nil
}

// refusal returns the outcome of a request that the lease holder must not serve at now, or nil if it may serve it. The
// request belongs to unit u. The hash is 0 if the request has neither a key nor an ID; any server may then run it.
func (h LeaseHolder) refusal(hash uint64, u unit.Unit, now time.Time) outcome.Outcome {
	switch {
	case !h.lease.IsValid(now):
		return outcome.NotRun{Reason: "this host has no valid permit for " + h.server.Name, Moved: true}
	case h.isReleased(hash, u):
		return outcome.NotRun{Reason: h.server.Name + " is being handed over", Moved: true}
	case hash != 0 && h.assignment.OwnerOfUnit(u) != h.server.Name:
		return outcome.NotRun{Reason: h.server.Name + " does not own " + u.String(), Moved: true}
	}
	return nil
}

// overloadRefusal returns the outcome of a request that can't be queued or can't be served in time, or nil.
func (h LeaseHolder) overloadRefusal(r request.Request, now time.Time) outcome.Outcome {
	rank, isDeduplicated := r.Rank, r.RunsAtMostOnce()
	wait := h.queue.EstimateWait(rank, r.Caller, h.limiter.meanServiceTime(), h.limiter.concurrency(h.server.Slots), now)
	retryAfter := max(minRetryAfter, wait/2)
	switch {
	case !h.queue.HasRank(rank):
		return outcome.NotRun{Reason: "rank " + rank + " is not declared"}
	case h.queue.IsFull(rank):
		return outcome.NotRun{Reason: "the queue of rank " + rank + " is full", RetryAfter: retryAfter}
	case isDeduplicated && h.dedup.IsFull():
		return outcome.NotRun{Reason: "the memory of request ids is full", RetryAfter: h.timing.OutcomeRetention}
	case float64(wait+h.limiter.highServiceTime()) > admissionShare*float64(r.Deadline.Sub(now)):
		return outcome.NotRun{Reason: "the deadline can't be met", RetryAfter: retryAfter}
	}
	return nil
}

func withWaiter(m map[uint64][]uint64, first, ticket uint64) map[uint64][]uint64 {
	next := maps.Clone(m)
	next[first] = append(slices.Clone(next[first]), ticket)
	return next
}

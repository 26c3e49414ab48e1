package forward

import (
	"context"
	"time"

	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
	"redwingsill/io/slotclient"
)

// StopSending lets no attempt begin after the given time. Requests that wait for a slot then, and later ones, end as not run unless
// an earlier attempt may have run. A host that shuts down calls it, since what is sent late would be cut at the end. Attempts in
// progress go on.
func (f *Forwarder) StopSending(at time.Time) {
	time.AfterFunc(at.Sub(f.now()), f.stopSending)
}

// acquire asks for a slot until the context ends or no further attempt may begin.
func (f *Forwarder) acquire(ctx context.Context, s *requestState) (slotclient.Slot, placement.Placement) {
	refused := placement.Refuse{Reason: placement.Stopping, RetryAfter: failureRetryAfter}
	if f.sending.Err() != nil {
		return slotclient.Slot{}, refused
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.sending, cancel)()
	slot, answer := f.slotClient.Acquire(waiting, f.newSlotRequest(s))
	if f.sending.Err() == nil {
		return slot, answer
	}
	if _, ok := answer.(placement.Place); ok {
		slot.Release(f.unsentResult(slot.Incarnation))
	}
	return slotclient.Slot{}, refused
}

// newSlotRequest returns the slot request for the next attempt. Requests with a key exclude no backend servers, as only
// the owner of the key can serve them.
func (f *Forwarder) newSlotRequest(s *requestState) slotrequest.SlotRequest {
	key := f.keyOf(s)
	r := slotrequest.SlotRequest{DataCentre: f.dataCentre, Service: s.service, Key: key, Rank: s.route.Rank, Objective: s.objective,
		Deadline: s.request.Deadline, IsRetry: s.rounds > 1, IsIdempotent: s.route.IsIdempotent}
	if key == slotrequest.NoKey {
		r.Excluded = s.history.Excluded
	}
	return r
}

// keyOf returns the key of a request whose service is sharded, and otherwise [slotrequest.NoKey].
func (f *Forwarder) keyOf(s *requestState) int {
	if f.routing.Read().Services[s.service].IsSharded {
		return s.key
	}
	return slotrequest.NoKey
}

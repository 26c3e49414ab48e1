package datagram

import (
	"errors"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/kind"
	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/reachability"
	"redwingsill/core/slotrequest"
)

// The first byte of a datagram tells its variant.
const (
	codeAsked byte = iota + 1
	codeQueued
	codePlaced
	codeRefused
	codeDropped
	codeReported
	codeHeld
	codePing
	codePong
	codeDeclined
	codeContactAsked
	codeContactTold
)

// reasons gives the codes of the reasons for a refusal.
var reasons = []placement.Reason{placement.Overload, placement.NoServers, placement.NoOwner, placement.Unreachable, placement.Expired}

// encode returns a notice as bytes. Times travel as what is left of them, since clocks differ.
func encode(n notification.Notification, now time.Time) []byte {
	w := writer{bytes: make([]byte, 0, 128)}
	switch n := n.(type) {
	case notification.SlotRequested:
		w.code(codeAsked)
		w.ask(n.Request, now)
	case notification.Queued:
		w.code(codeQueued)
		w.unsigned(n.Ticket)
	case notification.Placed:
		w.code(codePlaced)
		w.unsigned(n.Place.Ticket)
		w.text(n.Place.Incarnation)
	case notification.Refused:
		w.code(codeRefused)
		w.unsigned(n.Refuse.Ticket)
		w.signed(int64(n.Refuse.RetryAfter))
		w.code(codeOf(n.Refuse.Reason))
	case notification.Declined:
		w.code(codeDeclined)
		w.unsigned(n.Ticket)
	case notification.Cancelled:
		w.code(codeDropped)
		w.text(n.Service)
		w.unsigned(n.Ticket)
	case notification.AttemptReported:
		w.code(codeReported)
		w.text(n.Service)
		w.report(n.Result)
	case notification.HeldSlots:
		w.code(codeHeld)
		w.text(n.Service)
		w.unsigned(uint64(n.Host))
		w.unsigned(uint64(len(n.Tickets)))
		for _, t := range n.Tickets {
			w.unsigned(t)
		}
	case notification.Ping:
		w.code(codePing)
	case notification.Pong:
		w.code(codePong)
	case notification.ReachabilityRequested:
		w.code(codeContactAsked)
		w.signed(n.CoordinatorRevision)
	case notification.ReachabilityReported:
		w.code(codeContactTold)
		w.signed(int64(now.Sub(n.Reachability.ReachableSince)))
		w.signed(int64(now.Sub(n.Reachability.LastAnswer)))
		w.signed(n.Reachability.CoordinatorRevision)
	}
	return w.bytes
}

func codeOf(reason placement.Reason) byte {
	for i, r := range reasons {
		if r == reason {
			return byte(i)
		}
	}
	return 0
}

// decode returns the notice in a datagram. Errors are an [*Error] of kind Invalid.
func decode(b []byte, now time.Time) (notification.Notification, error) {
	r := reader{bytes: b}
	n := r.notice(now)
	if r.isShort || n == nil || len(r.bytes) > 0 {
		return nil, newError("decode a datagram", kind.Invalid, errors.New("the datagram is not a notice"))
	}
	return n, nil
}

func (r *reader) notice(now time.Time) notification.Notification {
	switch r.code() {
	case codeAsked:
		return notification.SlotRequested{Request: r.ask(now)}
	case codeQueued:
		return notification.Queued{Ticket: r.unsigned()}
	case codePlaced:
		return notification.Placed{Place: placement.Place{Ticket: r.unsigned(), Incarnation: r.text()}}
	case codeRefused:
		refuse := placement.Refuse{Ticket: r.unsigned(), RetryAfter: time.Duration(r.signed())}
		code := int(r.code())
		if code >= len(reasons) {
			return nil
		}
		refuse.Reason = reasons[code]
		return notification.Refused{Refuse: refuse}
	case codeDeclined:
		return notification.Declined{Ticket: r.unsigned()}
	case codeDropped:
		return notification.Cancelled{Service: r.text(), Ticket: r.unsigned()}
	case codeReported:
		return notification.AttemptReported{Service: r.text(), Result: r.report()}
	case codeHeld:
		held := notification.HeldSlots{Service: r.text(), Host: uint32(r.unsigned())}
		for range min(r.unsigned(), mostHeld) {
			held.Tickets = append(held.Tickets, r.unsigned())
		}
		return held
	case codePing:
		return notification.Ping{}
	case codePong:
		return notification.Pong{}
	case codeContactAsked:
		return notification.ReachabilityRequested{CoordinatorRevision: r.signed()}
	case codeContactTold:
		since, last := time.Duration(r.signed()), time.Duration(r.signed())
		return notification.ReachabilityReported{Reachability: reachability.Reachability{ReachableSince: now.Add(-since), LastAnswer: now.Add(-last), CoordinatorRevision: r.signed()}}
	}
	return nil
}

func (w *writer) ask(a slotrequest.SlotRequest, now time.Time) {
	flags := byte(0)
	if a.IsRetry {
		flags |= 1
	}
	if a.IsIdempotent {
		flags |= 2
	}
	w.unsigned(a.Ticket)
	w.text(a.DataCentre)
	w.text(a.Service)
	w.signed(int64(a.Key))
	w.signed(int64(a.Rank))
	w.signed(int64(a.Objective.Sub(now) / time.Microsecond))
	w.signed(int64(a.Deadline.Sub(now) / time.Microsecond))
	w.code(flags)
	w.unsigned(uint64(len(a.Excluded)))
	for _, life := range a.Excluded {
		w.text(life)
	}
}

func (r *reader) ask(now time.Time) slotrequest.SlotRequest {
	a := slotrequest.SlotRequest{Ticket: r.unsigned(), DataCentre: r.text(), Service: r.text(), Key: int(r.signed()), Rank: int(r.signed())}
	a.Objective = now.Add(time.Duration(r.signed()) * time.Microsecond)
	a.Deadline = now.Add(time.Duration(r.signed()) * time.Microsecond)
	flags := r.code()
	a.IsRetry, a.IsIdempotent = flags&1 != 0, flags&2 != 0
	for range min(r.unsigned(), mostHeld) {
		a.Excluded = append(a.Excluded, r.text())
	}
	return a
}

func (w *writer) report(p attemptresult.AttemptResult) {
	w.unsigned(p.Ticket)
	w.text(p.Incarnation)
	w.code(byte(p.Status))
	w.signed(int64(p.Duration / time.Microsecond))
	w.signed(int64(p.Running))
	w.signed(int64(p.Waiting))
}

func (r *reader) report() attemptresult.AttemptResult {
	return attemptresult.AttemptResult{Ticket: r.unsigned(), Incarnation: r.text(), Status: attemptresult.Status(r.code()),
		Duration: time.Duration(r.signed()) * time.Microsecond, Running: int(r.signed()), Waiting: int(r.signed())}
}

package datagram

import (
	"errors"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/attemptresult"
	"redwingsill/core/kind"
	"redwingsill/core/notification"
	"redwingsill/core/placement"
	"redwingsill/core/reachability"
	"redwingsill/core/slotrequest"
)

// Codes of the notification variants, in the first byte of a datagram.
const (
	codeSlotRequested byte = iota + 1
	codeQueued
	codePlaced
	codeRefused
	codeCancelled
	codeAttemptReported
	codeHeldSlots
	codePing
	codePong
	codeDeclined
	codeReachabilityRequested
	codeReachabilityReported
	codeServerAnnounced
	codeServerCold
)

// flagLeaving is the flag of an announcement that says that the server leaves.
const flagLeaving byte = 1

// Flags of a slot request.
const (
	flagRetry byte = 1 << iota
	flagIdempotent
)

// refusalReasons lists the reasons for a refusal. The index of a reason is its code in a datagram.
var refusalReasons = []placement.Reason{placement.Overload, placement.NoServers, placement.NoOwner, placement.Unreachable, placement.Expired}

// encode returns the wire form of a notification. Times are encoded relative to now, since the hosts' clocks differ.
// Durations are in nanoseconds, those of slot requests and attempt results in microseconds.
func encode(n notification.Notification, now time.Time) []byte {
	w := writer{buffer: make([]byte, 0, 128)}
	switch n := n.(type) {
	case notification.SlotRequested:
		w.putByte(codeSlotRequested)
		w.putSlotRequest(n.Request, now)
	case notification.Queued:
		w.putByte(codeQueued)
		w.putUvarint(n.Ticket)
	case notification.Placed:
		w.putByte(codePlaced)
		w.putUvarint(n.Place.Ticket)
		w.putString(n.Place.Incarnation)
	case notification.Refused:
		w.putByte(codeRefused)
		w.putUvarint(n.Refuse.Ticket)
		w.putVarint(int64(n.Refuse.RetryAfter))
		w.putByte(reasonCode(n.Refuse.Reason))
	case notification.Declined:
		w.putByte(codeDeclined)
		w.putUvarint(n.Ticket)
	case notification.Cancelled:
		w.putByte(codeCancelled)
		w.putString(n.Service)
		w.putUvarint(n.Ticket)
	case notification.AttemptReported:
		w.putByte(codeAttemptReported)
		w.putString(n.Service)
		w.putAttemptResult(n.Result)
	case notification.ServerAnnounced:
		w.putByte(codeServerAnnounced)
		w.putServerAnnounced(n)
	case notification.ServerCold:
		w.putByte(codeServerCold)
		w.putString(n.Service)
		w.putString(n.Incarnation)
		w.putVarint(int64(n.ColdFor))
	case notification.HeldSlots:
		w.putByte(codeHeldSlots)
		w.putString(n.Service)
		w.putUvarint(uint64(n.Host))
		w.putUvarint(uint64(len(n.Tickets)))
		for _, ticket := range n.Tickets {
			w.putUvarint(ticket)
		}
	case notification.Ping:
		w.putByte(codePing)
	case notification.Pong:
		w.putByte(codePong)
	case notification.ReachabilityRequested:
		w.putByte(codeReachabilityRequested)
		w.putVarint(n.CoordinatorRevision)
	case notification.ReachabilityReported:
		w.putByte(codeReachabilityReported)
		w.putVarint(int64(now.Sub(n.Reachability.ReachableSince)))
		w.putVarint(int64(now.Sub(n.Reachability.LastAnswer)))
		w.putVarint(n.Reachability.CoordinatorRevision)
	}
	return w.buffer
}

// reasonCode returns the code of a reason. A reason that refusalReasons lacks is sent as code 0, Overload.
func reasonCode(reason placement.Reason) byte {
	for i, r := range refusalReasons {
		if r == reason {
			return byte(i)
		}
	}
	return 0
}

// decode returns the notification in a datagram. The error is an [*Error] of kind Invalid.
func decode(b []byte, now time.Time) (notification.Notification, error) {
	r := reader{rest: b}
	n := r.nextNotification(now)
	if r.isMalformed || n == nil || len(r.rest) > 0 {
		return nil, newError("decode a datagram", kind.Invalid, errors.New("not a valid notification"))
	}
	return n, nil
}

// nextNotification reads a notification. It returns nil if the code of the notification or of a reason is unknown. A
// notification other than nil is valid only if r.isMalformed is not set.
func (r *reader) nextNotification(now time.Time) notification.Notification {
	switch r.nextByte() {
	case codeSlotRequested:
		return notification.SlotRequested{Request: r.nextSlotRequest(now)}
	case codeQueued:
		return notification.Queued{Ticket: r.nextUvarint()}
	case codePlaced:
		return notification.Placed{Place: placement.Place{Ticket: r.nextUvarint(), Incarnation: r.nextString()}}
	case codeRefused:
		refuse := placement.Refuse{Ticket: r.nextUvarint(), RetryAfter: time.Duration(r.nextVarint())}
		code := int(r.nextByte())
		if code >= len(refusalReasons) {
			return nil
		}
		refuse.Reason = refusalReasons[code]
		return notification.Refused{Refuse: refuse}
	case codeDeclined:
		return notification.Declined{Ticket: r.nextUvarint()}
	case codeCancelled:
		return notification.Cancelled{Service: r.nextString(), Ticket: r.nextUvarint()}
	case codeAttemptReported:
		return notification.AttemptReported{Service: r.nextString(), Result: r.nextAttemptResult()}
	case codeServerAnnounced:
		return r.nextServerAnnounced()
	case codeServerCold:
		return notification.ServerCold{Service: r.nextString(), Incarnation: r.nextString(), ColdFor: time.Duration(r.nextVarint())}
	case codeHeldSlots:
		held := notification.HeldSlots{Service: r.nextString(), Host: uint32(r.nextUvarint())}
		for range min(r.nextUvarint(), maxListLength) {
			held.Tickets = append(held.Tickets, r.nextUvarint())
		}
		return held
	case codePing:
		return notification.Ping{}
	case codePong:
		return notification.Pong{}
	case codeReachabilityRequested:
		return notification.ReachabilityRequested{CoordinatorRevision: r.nextVarint()}
	case codeReachabilityReported:
		reachableFor, sinceLastAnswer := time.Duration(r.nextVarint()), time.Duration(r.nextVarint())
		return notification.ReachabilityReported{Reachability: reachability.Reachability{ReachableSince: now.Add(-reachableFor), LastAnswer: now.Add(-sinceLastAnswer), CoordinatorRevision: r.nextVarint()}}
	}
	return nil
}

// putSlotRequest appends a slot request with its times in microseconds from now.
func (w *writer) putSlotRequest(request slotrequest.SlotRequest, now time.Time) {
	flags := byte(0)
	if request.IsRetry {
		flags |= flagRetry
	}
	if request.IsIdempotent {
		flags |= flagIdempotent
	}
	w.putUvarint(request.Ticket)
	w.putString(request.DataCentre)
	w.putString(request.Service)
	w.putVarint(int64(request.Key))
	w.putVarint(int64(request.Rank))
	w.putVarint(int64(request.Objective.Sub(now) / time.Microsecond))
	w.putVarint(int64(request.Deadline.Sub(now) / time.Microsecond))
	w.putByte(flags)
	w.putUvarint(uint64(len(request.Excluded)))
	for _, incarnation := range request.Excluded {
		w.putString(incarnation)
	}
}

// nextSlotRequest reads a slot request whose times are in microseconds from now.
func (r *reader) nextSlotRequest(now time.Time) slotrequest.SlotRequest {
	request := slotrequest.SlotRequest{Ticket: r.nextUvarint(), DataCentre: r.nextString(), Service: r.nextString(), Key: int(r.nextVarint()), Rank: int(r.nextVarint())}
	request.Objective = now.Add(time.Duration(r.nextVarint()) * time.Microsecond)
	request.Deadline = now.Add(time.Duration(r.nextVarint()) * time.Microsecond)
	flags := r.nextByte()
	request.IsRetry, request.IsIdempotent = flags&flagRetry != 0, flags&flagIdempotent != 0
	for range min(r.nextUvarint(), maxListLength) {
		request.Excluded = append(request.Excluded, r.nextString())
	}
	return request
}

func (w *writer) putServerAnnounced(n notification.ServerAnnounced) {
	flags := byte(0)
	if n.Announcement.IsLeaving {
		flags |= flagLeaving
	}
	w.putString(n.Service)
	w.putUvarint(uint64(n.Host))
	w.putString(n.Incarnation)
	w.putByte(flags)
	w.putVarint(int64(n.Announcement.Pause))
}

func (r *reader) nextServerAnnounced() notification.ServerAnnounced {
	return notification.ServerAnnounced{Service: r.nextString(), Host: uint32(r.nextUvarint()), Incarnation: r.nextString(),
		Announcement: announcement.Announcement{IsLeaving: r.nextByte()&flagLeaving != 0, Pause: time.Duration(r.nextVarint())}}
}

// putAttemptResult appends an attempt result without its announcement, which [notification.ServerAnnounced] carries: hosts of
// an earlier version reject a longer result, but only ignore a notification that they don't know.
func (w *writer) putAttemptResult(result attemptresult.AttemptResult) {
	w.putUvarint(result.Ticket)
	w.putString(result.Incarnation)
	w.putByte(byte(result.Status))
	w.putVarint(int64(result.Duration / time.Microsecond))
	w.putVarint(int64(result.Running))
	w.putVarint(int64(result.Waiting))
}

func (r *reader) nextAttemptResult() attemptresult.AttemptResult {
	return attemptresult.AttemptResult{Ticket: r.nextUvarint(), Incarnation: r.nextString(), Status: attemptresult.Status(r.nextByte()),
		Duration: time.Duration(r.nextVarint()) * time.Microsecond, Running: int(r.nextVarint()), Waiting: int(r.nextVarint())}
}

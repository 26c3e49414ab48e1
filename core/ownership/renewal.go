package ownership

import (
	"time"

	"redwingsill/core/command"
)

// renewal tracks the repeated grants of one range to its owner.
type renewal struct {
	// id is the ID of the last grant call, which was sent at sentAt and has no result while isPending is set. If the call
	// failed, sentAt is instead RenewInterval before the time of the retry.
	id    int64
	owner string
	// previousOwner is the incarnation from which the range moved to owner, or empty if there was none.
	previousOwner string
	fence         int64
	sentAt        time.Time
	isPending     bool
	// handover is the state that the previous owner passed on. It is sent until the owner has acknowledged a grant with a certain answer,
	// or two grants. isHandoverPresumed is set after the first presumed acknowledgement.
	handover           string
	isHandoverPresumed bool
	// acquiredAt is when this coordinator moved the range to the owner, or the zero time if it didn't.
	acquiredAt time.Time
	// isUnacknowledged is set until the owner has acknowledged a grant of the range.
	isUnacknowledged bool
}

// withCompletion returns the renewal after a grant call ended. A call that failed is due again after RetryDelay; after a
// Stale one, WithGrantResults releases the range and grants it again.
func (r renewal) withCompletion(c command.Completion, t Timing, now time.Time) renewal {
	r.isPending = false
	switch c.Result {
	case command.Done:
		r.isUnacknowledged = false
		if r.isHandoverPresumed || !c.Proof.IsPresumed {
			r.handover = ""
		}
		r.isHandoverPresumed = c.Proof.IsPresumed
	case command.Lost, command.Unsent, command.Invalid, command.Replaced:
		r.sentAt = now.Add(t.RetryDelay - t.RenewInterval)
	case command.Stale:
	}
	return r
}

// isDue reports whether a grant should be sent at now. A call that has no result after CallTimeout is repeated.
func (r renewal) isDue(t Timing, now time.Time) bool {
	if r.isPending {
		return now.Sub(r.sentAt) >= t.CallTimeout
	}
	return now.Sub(r.sentAt) >= t.RenewInterval
}

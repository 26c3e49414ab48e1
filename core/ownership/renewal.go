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
	// handover is the state that the previous owner passed on. It is sent until the owner acknowledges a grant.
	handover string
	// acquiredAt is when this coordinator moved the range to the owner, or the zero time if it didn't.
	acquiredAt time.Time
	// isUnacknowledged is set until the owner has acknowledged a grant of the range.
	isUnacknowledged bool
}

// withResult returns the renewal after a grant call ended. A call that failed is due again after RetryDelay; after a
// Stale one, WithGrantResults releases the range and grants it again.
func (r renewal) withResult(result command.Result, t Timing, now time.Time) renewal {
	r.isPending = false
	switch result {
	case command.Done:
		r.handover, r.isUnacknowledged = "", false
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

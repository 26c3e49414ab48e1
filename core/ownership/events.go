package ownership

import (
	"slices"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownershipevent"
)

// Events returns what happened since the last WithoutEvents, in order.
func (o Ownership) Events() []ownershipevent.Event { return o.events }

// WithoutEvents returns the state with no events.
func (o Ownership) WithoutEvents() Ownership {
	o.events = nil
	return o
}

func (o Ownership) withEvent(e ownershipevent.Event) Ownership {
	o.events = append(slices.Clip(o.events), e)
	return o
}

// withFreedEvent records that the range of a move was freed.
func (o Ownership) withFreedEvent(r keyrange.Range, m move, reason ownershipevent.Reason) Ownership {
	freed := ownershipevent.RangeFreed{Range: r, Owner: m.from, Fence: m.fromFence, Reason: reason}
	if m.from != "" {
		freed.MayHoldUntil = o.mayHoldUntil(m.from)
	}
	return o.withEvent(freed)
}

// withEndedEvent records that an incarnation has ended, if that follows from the result of a call to the given address.
func (o Ownership) withEndedEvent(incarnation string, result command.Result, address string) Ownership {
	s := o.servers[incarnation]
	if result != command.Replaced || s.answeredAt != address || s.hasEnded() {
		return o
	}
	return o.withEvent(ownershipevent.ServerEnded{Server: incarnation, Address: address})
}

// unreleasedReason returns why a range that its owner did not release is freed at now.
func (o Ownership) unreleasedReason(m move, now time.Time) ownershipevent.Reason {
	if now.Before(o.mayHoldUntil(m.from)) {
		return ownershipevent.OwnerEnded
	}
	return ownershipevent.Expired
}

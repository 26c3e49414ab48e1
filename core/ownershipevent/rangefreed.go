package ownershipevent

import (
	"time"

	"redwingsill/core/keyrange"
)

// RangeFreed means that a range may be given to a new owner.
type RangeFreed struct {
	Range keyrange.Range
	// Owner is the incarnation that owned the range, or empty if there was none, and Fence the token of its last grant.
	Owner  string
	Fence  int64
	Reason Reason
	// MayHoldUntil is when the last grant to Owner that the coordinator knows of is certain to have expired. It is the zero
	// time if the coordinator knows of none.
	MayHoldUntil time.Time
}

func (RangeFreed) isEvent() {}

package ownershipevent

import "redwingsill/core/keyrange"

// RangeAcquired means that a new owner has acknowledged the first grant of a range.
type RangeAcquired struct {
	Range keyrange.Range
	// Owner and PreviousOwner are incarnations of backend servers. PreviousOwner is empty if the range had no owner. If the
	// range was joined from several, PreviousOwner had the part that moved last.
	Owner         string
	PreviousOwner string
	// Fence is the fencing token of the grant.
	Fence int64
}

func (RangeAcquired) isEvent() {}

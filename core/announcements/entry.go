package announcements

import (
	"time"

	"redwingsill/core/instance"
)

// entry is what one incarnation has announced.
type entry struct {
	// leavingSince is when the incarnation was first heard to be leaving, or zero.
	leavingSince time.Time
	// pausedUntil is the time until which the incarnation wants no requests, or zero.
	pausedUntil time.Time
	// coldUntil is the time until which the incarnation is cold, or zero.
	coldUntil time.Time
	// heardAt is the time of the last announcement.
	heardAt time.Time
}

// appliedTo returns an instance as the entry of its incarnation describes it.
func (e entry) appliedTo(i instance.Instance, drainTime time.Duration) instance.Instance {
	if e.coldUntil.After(i.WarmUpEnd) {
		i = i.WithWarmUpEnd(e.coldUntil)
	}
	deadline := e.leavingSince.Add(drainTime)
	if e.leavingSince.IsZero() || i.IsLeaving && i.SendDeadline.Before(deadline) {
		return i
	}
	return i.WithLeaving(deadline)
}

package announcements

import "time"

// entry is what one incarnation has announced.
type entry struct {
	// leavingSince is when the incarnation was first heard to be leaving, or zero.
	leavingSince time.Time
	// pausedUntil is the time until which the incarnation wants no requests, or zero.
	pausedUntil time.Time
	// heardAt is the time of the last announcement.
	heardAt time.Time
}

// Package attemptresult holds the result of one attempt to send a request to a backend server.
package attemptresult

import (
	"time"

	"redwingsill/core/announcement"
)

// AttemptResult reports the end of an attempt to the pool, which frees the slot.
type AttemptResult struct {
	// Ticket is that of the slot request.
	Ticket uint64
	// Incarnation identifies one start of the backend server.
	Incarnation string
	Status      Status
	// Duration is the time from sending the request to the end of the answer.
	Duration time.Duration
	// Running and Waiting are the numbers of requests that the backend server reported with its answer, or -1 if it
	// reported none.
	Running int
	Waiting int
	// Announcement is what the backend server said of itself in its answer, or, in a result with the status Unsent, what the
	// host knew from earlier answers.
	Announcement announcement.Announcement
}

// HasLoad reports whether the backend server reported its load.
func (r AttemptResult) HasLoad() bool { return r.Running >= 0 }

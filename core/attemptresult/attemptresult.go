// Package attemptresult holds what became of a request at a backend server.
package attemptresult

import "time"

// AttemptResult tells a pool that a request has left its slot.
type AttemptResult struct {
	Ticket uint64
	// Life is the life of the backend server.
	Life   string
	Result Status
	// Took is the time from sending to the end of the answer.
	Took time.Duration
	// Running and Waiting are the backend server's own count of requests as it answered, or -1 where it told none.
	Running int
	Waiting int
}

// HasLoad reports whether the backend server told its load.
func (r AttemptResult) HasLoad() bool { return r.Running >= 0 }

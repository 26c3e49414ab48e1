package outcome

import "time"

// NotRun reports that it is certain that no backend server ran the request, so that it may be retried.
type NotRun struct {
	Reason string
	// RetryAfter is the time after which a retry is likely to succeed. It is 0 if unknown.
	RetryAfter time.Duration `json:",omitempty"`
	// Moved reports that only the route of the request failed, for example because a key or a lease has moved, so that a
	// retry on another route may succeed.
	Moved bool `json:",omitempty"`
}

func (NotRun) outcome() {}

package admission

import "time"

// Refused refuses the request before its body is read. It has not run.
type Refused struct {
	Reason Reason
	// RetryAfter is the time after which there is room.
	RetryAfter time.Duration
}

func (Refused) admission() {}

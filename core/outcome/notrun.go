package outcome

import "time"

// NotRun says for certain that no backend server ran the request.
type NotRun struct {
	Reason string
	// RetryAfter is when the request may fare better.
	RetryAfter time.Duration `json:",omitempty"`
	// Moved says that another host may serve the request now.
	Moved bool `json:",omitempty"`
}

func (NotRun) outcome() {}

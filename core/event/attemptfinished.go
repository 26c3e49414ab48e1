package event

import "redwingsill/core/outcome"

// AttemptFinished is the end of an attempt on a backend server.
type AttemptFinished struct {
	Server  string
	Ticket  uint64
	Outcome outcome.Outcome
	// Shed is set when the server refused the request because it is overloaded.
	Shed bool
}

func (AttemptFinished) event() {}

// ServerName implements [ServerEvent].
func (e AttemptFinished) ServerName() string { return e.Server }

package message

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// Told answers an [Ask].
type Told struct {
	Ticket  uint64
	Outcome outcome.Outcome
	// Load is the work at the backend server after the answer.
	Load load.Load
	// Steward is the host that answered for the backend server.
	Steward string `json:",omitempty"`
}

func (Told) message() {}

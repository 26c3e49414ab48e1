package message

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// Forwarded answers a [Forward].
type Forwarded struct {
	Ticket  uint64
	Outcome outcome.Outcome
	// Load is the work at the backend server after the answer.
	Load load.Load
	// Steward is the host that answered for the backend server.
	Steward string `json:",omitempty"`
}

func (Forwarded) message() {}

package message

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// Forwarded answers a [Forward].
type Forwarded struct {
	// Ticket is that of the request being answered.
	Ticket  uint64
	Outcome outcome.Outcome
	// Load is the load of the backend server after the response.
	Load load.Load
	// LeaseHolder is the host that answered as the backend server's lease holder, or empty if unknown.
	LeaseHolder string `json:"Steward,omitempty"`
}

func (Forwarded) message() {}

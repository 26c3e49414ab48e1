package effect

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// CompleteRequest delivers the outcome of the request with the given ticket to its sender.
type CompleteRequest struct {
	Ticket  uint64
	Outcome outcome.Outcome
	// Load is the load of the backend server when the request ended. It is zero if no lease holder handled the request.
	Load load.Load
}

func (CompleteRequest) effect() {}

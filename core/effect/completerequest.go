package effect

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// CompleteRequest delivers the outcome of a request to its ticket.
type CompleteRequest struct {
	Ticket  uint64
	Outcome outcome.Outcome
	Load    load.Load
}

func (CompleteRequest) effect() {}

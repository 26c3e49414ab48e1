package effect

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// Tell gives the holder of a ticket the outcome of its request.
type Tell struct {
	Ticket  uint64
	Outcome outcome.Outcome
	Load    load.Load
}

func (Tell) effect() {}

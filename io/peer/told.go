package peer

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// told is the wire form of an answer; exactly one of the outcomes is set.
type told struct {
	Ticket   uint64
	Answered *outcome.Answered `json:",omitempty"`
	NotRun   *outcome.NotRun   `json:",omitempty"`
	Unknown  *outcome.Unknown  `json:",omitempty"`
	Load     load.Load
	Steward  string `json:",omitempty"`
}

package peer

import (
	"redwingsill/core/load"
	"redwingsill/core/outcome"
)

// wireForwarded is the wire form of [message.Forwarded]. Exactly one of the outcomes is set.
type wireForwarded struct {
	Ticket      uint64
	Answered    *outcome.Answered `json:",omitempty"`
	NotRun      *outcome.NotRun   `json:",omitempty"`
	Unknown     *outcome.Unknown  `json:",omitempty"`
	Load        load.Load
	LeaseHolder string `json:"Steward,omitempty"`
}

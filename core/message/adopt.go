package message

import (
	"time"

	"redwingsill/core/grant"
	"redwingsill/core/idrecord"
	"redwingsill/core/unit"
)

// Adopt hands the memory of request ids to the steward that takes over.
type Adopt struct {
	ReleaseID int64
	From      string
	// Server is the backend server that takes over, and Origin the grant under which the memory began where the whole
	// server changes its steward.
	Server string
	Origin grant.Grant `json:",omitzero"`
	Units  []unit.Unit `json:",omitempty"`
	// Owned are the units whose request ids the entries cover where the whole server changes its steward.
	Owned   []unit.Unit         `json:",omitempty"`
	Entries []idrecord.IDRecord `json:",omitempty"`
	// Cutoff is the time before which ids may be missing from the entries.
	Cutoff time.Time
}

func (Adopt) message() {}

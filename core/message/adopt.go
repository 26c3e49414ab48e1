package message

import (
	"time"

	"redwingsill/core/dedupentry"
	"redwingsill/core/grant"
	"redwingsill/core/unit"
)

// Adopt transfers dedup entries to the lease holder that takes over a backend server or some of its units.
type Adopt struct {
	ReleaseID int64
	// From is the entry host that sends the entries.
	From string
	// Server is the backend server that takes over the units, or that changes its lease holder. Origin is the grant
	// under which the sender's dedup table began.
	Server string
	Origin grant.Grant `json:",omitzero"`
	// Units are the units that move. There are none when the whole server changes its lease holder.
	Units []unit.Unit `json:",omitempty"`
	// CoveredUnits are the units whose request IDs the entries cover when the whole server changes its lease holder.
	CoveredUnits []unit.Unit             `json:"Owned,omitempty"`
	Entries      []dedupentry.DedupEntry `json:",omitempty"`
	// Cutoff is the issue time before which request IDs may be missing from the entries.
	Cutoff time.Time
}

func (Adopt) message() {}

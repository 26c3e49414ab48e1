package message

import (
	"time"

	"redwingsill/core/lease"
	"redwingsill/core/requestrate"
	"redwingsill/core/versions"
)

// Report is a member's periodic status report to its leader.
type Report struct {
	Term   int64
	Member string
	// Incarnation identifies the member's process start.
	Incarnation int64
	// Round is the newest heartbeat round received from the leader.
	Round int64
	// SentAt is the time on the member's clock; the leader echoes it.
	SentAt   time.Time
	Versions versions.Versions `json:"Stamp"`
	// LeaseDigest is the digest of the member's valid leases. Leases lists them with their remaining validity if the
	// leader asked for them.
	LeaseDigest uint64        `json:"Digest,omitempty"`
	Leases      []lease.Lease `json:"Holdings,omitempty"`
	// HasLeases is set when Leases is the complete list, even if it is empty.
	HasLeases bool `json:"HasHoldings,omitempty"`
	// CompletedReleases are the IDs of completed releases; AdoptedReleases those whose dedup entries the successor host
	// has received.
	CompletedReleases []int64 `json:"Released,omitempty"`
	AdoptedReleases   []int64 `json:"Adopted,omitempty"`
	// IsLeaving asks the leader to move all leases that the member holds to other members.
	IsLeaving bool `json:"Leaving,omitempty"`
	// RefusedTerm is the term of the candidate with a higher term that the member refused last, or 0 if it has refused
	// none recently.
	RefusedTerm int64 `json:"Contender,omitempty"`
	// RequestRates are the rates of the hottest keys of the member's backend servers; KeyHash 0 is the total rate of a
	// server.
	RequestRates []requestrate.RequestRate `json:"Heats,omitempty"`
}

func (Report) message() {}

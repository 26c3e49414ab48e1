package message

import (
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/lease"
	"redwingsill/core/quorum"
	"redwingsill/core/release"
	"redwingsill/core/versions"
	"redwingsill/core/view"
)

// Heartbeat is sent by the leader to a member in reply to a [Report], at once when state has changed, and at intervals
// to a silent member.
type Heartbeat struct {
	Term   int64
	Leader string `json:"Arbiter"`
	// Incarnation identifies the leader's process start.
	Incarnation int64
	// Round is the number of this heartbeat among all that the leader has sent.
	Round int64
	// Echo is the SentAt of the member's newest report. The validity of leases counts from it.
	Echo time.Time `json:",omitzero"`
	// LeaseDigest is the digest of the leases that the leader believes the member holds. If it matches the member's
	// own, RenewedValidity is their new validity. Otherwise Leases lists them, and WantsLeases asks for the member's
	// own list.
	LeaseDigest     uint64        `json:"Digest,omitempty"`
	RenewedValidity time.Duration `json:"Renewal,omitempty"`
	Leases          []lease.Lease `json:"Permits,omitempty"`
	WantsLeases     bool          `json:"WantsHoldings,omitempty"`
	// Releases are the releases requested of the member that it has not reported as completed.
	Releases []release.Release `json:",omitempty"`
	// Quorums and Successors are sent when the member's own differ. Successors are the hosts that may become the leader
	// while the store is unavailable, in order; each has a term reserved in the term record.
	Successors []string       `json:",omitempty"`
	Quorums    quorum.Quorums `json:",omitempty"`
	// WantsReport asks for an immediate report.
	WantsReport bool              `json:"Urgent,omitempty"`
	Versions    versions.Versions `json:"Stamp"`
	// Configuration, Assignment and View are sent when the member's own are older.
	Configuration *configuration.Configuration `json:",omitempty"`
	Assignment    *assignment.Assignment       `json:",omitempty"`
	View          *view.View                   `json:",omitempty"`
	// HasResigned is set when the leader has stepped down.
	HasResigned bool `json:"Resigned,omitempty"`
}

func (Heartbeat) message() {}

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

// Heartbeat is the arbiter's word to a member: in answer to a report, or at once when something has changed.
type Heartbeat struct {
	Term        int64
	Leader      string `json:"Arbiter"`
	Incarnation int64
	Round       int64
	// Echo is the SentAt of the member's newest report. Permits count from it.
	Echo time.Time `json:",omitzero"`
	// Digest stands for the permits that the arbiter believes the member to hold. Where the member holds just these,
	// Renewal is their new validity. Otherwise Permits lists them, and WantsHoldings asks for the member's own list.
	Digest        uint64            `json:",omitempty"`
	Renewal       time.Duration     `json:",omitempty"`
	Permits       []lease.Lease     `json:",omitempty"`
	WantsHoldings bool              `json:",omitempty"`
	Releases      []release.Release `json:",omitempty"`
	// Quorums and Successors are sent where the member's own are older. Successors are the hosts that may follow the arbiter with the terms after Term while the platform is out.
	Successors []string       `json:",omitempty"`
	Quorums    quorum.Quorums `json:",omitempty"`
	// Urgent asks for a report at once.
	Urgent bool `json:",omitempty"`
	Stamp  versions.Versions
	// Configuration, Assignment and View are sent where the member's own are older.
	Configuration *configuration.Configuration `json:",omitempty"`
	Assignment    *assignment.Assignment       `json:",omitempty"`
	View          *view.View                   `json:",omitempty"`
	// Resigned says that the arbiter has stopped.
	Resigned bool `json:",omitempty"`
}

func (Heartbeat) message() {}

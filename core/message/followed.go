package message

import (
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/lease"
	"redwingsill/core/quorum"
	"redwingsill/core/view"
)

// Followed answers a [Follow].
type Followed struct {
	// Term is the term of the request being answered.
	Term   int64
	Member string
	// Incarnation identifies the member's process start.
	Incarnation int64
	// Accepted is set when the member promises to follow the candidate. Otherwise it refuses.
	Accepted bool
	// Echo is the SentAt of the request being answered.
	Echo time.Time `json:",omitzero"`
	// HighestTerm is the term that the member follows. It never decreases, so it is the highest so far.
	HighestTerm int64 `json:"Highest"`
	// LeaderSilence is the time since the member last received a heartbeat of an earlier leader, promised to follow an
	// earlier candidate, or started.
	LeaderSilence time.Duration `json:"Quiet"`
	// Leases are the member's valid leases with their remaining validity.
	Leases []lease.Lease `json:"Holdings,omitempty"`
	// Quorums are the newest member sets that the member knows. A majority of each must agree on the next leader.
	Quorums quorum.Quorums `json:",omitempty"`
	// Configuration, Assignment and View are sent when the candidate's own are older.
	Configuration *configuration.Configuration `json:",omitempty"`
	Assignment    *assignment.Assignment       `json:",omitempty"`
	View          *view.View                   `json:",omitempty"`
}

func (Followed) message() {}

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
	Term   int64
	Member string
	// Incarnation tells one start of the member from another.
	Incarnation int64
	Accepted    bool
	// Echo is the SentAt of the request that is answered.
	Echo time.Time `json:",omitzero"`
	// Highest is the highest term that the member follows.
	Highest int64
	// Quiet is the time since the member last heard an arbiter of an earlier term, or promised to follow one.
	Quiet time.Duration
	// Holdings are the member's valid permits, with the validity that is left.
	Holdings []lease.Lease `json:",omitempty"`
	// Quorums are the members that must agree on the next arbiter as far as the member knows.
	Quorums       quorum.Quorums               `json:",omitempty"`
	Configuration *configuration.Configuration `json:",omitempty"`
	Assignment    *assignment.Assignment       `json:",omitempty"`
	View          *view.View                   `json:",omitempty"`
}

func (Followed) message() {}

package message

import (
	"time"

	"redwingsill/core/versions"
)

// Follow asks a member to follow a new arbiter and none of a lower term.
type Follow struct {
	Term        int64
	Candidate   string
	Incarnation int64
	// First says that the platform's counter had no term before, so that no promise can have been forgotten.
	First bool `json:",omitempty"`
	// SentAt is the candidate's clock, for the member to send back.
	SentAt time.Time
	// Stamp is what the candidate holds; the member sends back what it has newer.
	Stamp versions.Versions
}

func (Follow) message() {}

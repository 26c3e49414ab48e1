package message

import (
	"time"

	"redwingsill/core/versions"
)

// Follow asks a member to promise to follow a candidate as its leader and to reject leaders with lower terms.
type Follow struct {
	Term      int64
	Candidate string
	// Incarnation identifies the candidate's process start.
	Incarnation int64
	// IsFirstTerm is set when the store had no term record, so no earlier promise can have been lost.
	IsFirstTerm bool `json:"First,omitempty"`
	// SentAt is the time on the candidate's clock; the member echoes it.
	SentAt time.Time
	// Versions are the versions of the state that the candidate has; the member replies with the parts that it has in a
	// newer version.
	Versions versions.Versions `json:"Stamp"`
}

func (Follow) message() {}

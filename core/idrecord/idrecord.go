// Package idrecord defines the dedup table entry of one request ID.
package idrecord

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// IDRecord is the dedup table entry of one request ID.
type IDRecord struct {
	ID        string
	StartedAt time.Time `json:"At"`
	// Unit is the hash slot of the request with the hash of its key, so that the entry is found when the key moves out of
	// the hash slot.
	Unit unit.Unit
	// Answer is the stored response. If it is nil the outcome is unknown.
	Answer *outcome.Answered `json:",omitempty"`
}

// Outcome returns the outcome for a repeat of the request.
func (r IDRecord) Outcome() outcome.Outcome {
	if r.Answer == nil {
		return outcome.Unknown{Reason: "an earlier run of this request id has no stored response"}
	}
	replayed := *r.Answer
	replayed.IsReplayed = true
	return replayed
}

// Package idrecord holds what is remembered of one request id.
package idrecord

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// IDRecord is the kept outcome of one request id.
type IDRecord struct {
	ID string
	At time.Time
	// Unit is the slot that the request belongs to, with the hash of its key, so that it is found when the key leaves.
	Unit unit.Unit
	// Answer is the kept answer. Without one the outcome is Unknown.
	Answer *outcome.Answered `json:",omitempty"`
}

// Outcome returns the outcome that a repeat of the request receives.
func (r IDRecord) Outcome() outcome.Outcome {
	if r.Answer == nil {
		return outcome.Unknown{Reason: "an earlier run of this request id has no kept answer"}
	}
	kept := *r.Answer
	kept.IsReplayed = true
	return kept
}

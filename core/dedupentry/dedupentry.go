// Package dedupentry defines the dedup entry of one request ID.
package dedupentry

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// DedupEntry is the dedup entry of one request ID: its unit and, if there is one, the stored response.
type DedupEntry struct {
	ID        string
	StartedAt time.Time `json:"At"`
	// Unit is the hash slot of the request with the hash of its key, so that the entry is found when the key moves out
	// of the hash slot.
	Unit unit.Unit
	// Answer is the stored response. If it is nil the outcome is unknown.
	Answer *outcome.Answered `json:",omitempty"`
}

// Outcome returns the outcome for a repeat of the request.
func (e DedupEntry) Outcome() outcome.Outcome {
	if e.Answer == nil {
		return outcome.Unknown{Reason: "an earlier run of this request id has no kept answer"}
	}
	replayed := *e.Answer
	replayed.IsReplayed = true
	return replayed
}

// Package dedupentry defines the record that keeps a request from running twice.
package dedupentry

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// DedupEntry records that the request with the given ID was started. A repeat with the same ID gets its Outcome instead
// of being run.
type DedupEntry struct {
	ID        string
	StartedAt time.Time `json:"At"`
	// Unit is the hash slot of the request with the hash of its key, so that the entry is found when the key moves out
	// of the hash slot.
	Unit unit.Unit
	// Answer is the stored response. It is nil while the outcome is unknown, and if the response is too large to store.
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

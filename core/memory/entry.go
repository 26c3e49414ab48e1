package memory

import (
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// Entry is the kept outcome of one request id.
type Entry struct {
	ID string
	At time.Time
	// Unit is the unit that the request belongs to.
	Unit unit.Unit
	// Answer is the kept answer. Without one the outcome is Unknown.
	Answer *outcome.Answered `json:",omitempty"`
}

// Outcome returns the outcome that a repeat of the request receives.
func (e Entry) Outcome() outcome.Outcome {
	if e.Answer == nil {
		return outcome.Unknown{Reason: "an earlier run of this request id has no kept answer"}
	}
	kept := *e.Answer
	kept.Kept = true
	return kept
}

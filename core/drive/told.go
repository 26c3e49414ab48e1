package drive

import (
	"time"

	"redwingsill/core/outcome"
)

// Told is what a caller was told, and when.
type Told struct {
	Outcome outcome.Outcome
	At      time.Time
}

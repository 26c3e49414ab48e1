package member

import (
	"time"

	"redwingsill/core/release"
)

// handover is a deduplication table that was sent to the heir of a release and is not acknowledged yet.
type handover struct {
	release release.Release
	sentAt  time.Time
}

package member

import (
	"time"

	"redwingsill/core/release"
)

// handover is a dedup table that was sent to the successor host of a release and is not acknowledged yet.
type handover struct {
	release release.Release
	sentAt  time.Time
}

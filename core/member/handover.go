package member

import (
	"time"

	"redwingsill/core/release"
)

// handover is a transfer of dedup entries, sent for a release, that the successor host has not acknowledged yet.
type handover struct {
	release release.Release
	sentAt  time.Time
}

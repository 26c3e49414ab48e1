package member

import (
	"time"

	"redwingsill/core/release"
)

// handover is a memory sent to the heir of a release.
type handover struct {
	release release.Release
	sentAt  time.Time
}

package member

import (
	"time"

	"redwingsill/core/release"
)

// handover records that dedup entries were sent to the successor host of a release, which has not acknowledged them yet.
type handover struct {
	release release.Release
	sentAt  time.Time
}

package leader

import (
	"time"

	"redwingsill/core/message"
)

// memberState holds the newest report of one member and when messages were last exchanged with it.
type memberState struct {
	report message.Report
	// reportedAt is when the report was received.
	reportedAt time.Time
	// followedAt is the time at which the newest round that the member has answered was sent.
	followedAt time.Time
	// heartbeatAt is the time of the newest heartbeat sent to the member.
	heartbeatAt time.Time
}

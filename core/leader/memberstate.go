package leader

import (
	"time"

	"redwingsill/core/message"
)

// memberState holds the newest report of one member and when messages were last exchanged with it.
type memberState struct {
	// report has a zero SentAt until the member has reported to this leader.
	report message.Report
	// reportedAt is when the report was received. It starts at the time of the election if the member has promised.
	reportedAt time.Time
	// followedAt is when the newest round that the member has answered was sent. It starts at the send time of the
	// request for the member's promise.
	followedAt time.Time
	// heartbeatAt is the time of the newest heartbeat sent to the member.
	heartbeatAt time.Time
}

package leader

import (
	"time"

	"redwingsill/core/message"
)

// peer holds the newest report of one member and the times of the exchange with it.
type peer struct {
	report     message.Report
	reportedAt time.Time
	// followedAt is the time at which the newest round that the member has answered was sent.
	followedAt time.Time
	// heartbeatAt is the time of the newest heartbeat sent to the member.
	heartbeatAt time.Time
}

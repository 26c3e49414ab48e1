package leader

import (
	"time"

	"redwingsill/core/message"
)

// peer is what the arbiter knows of one member.
type peer struct {
	report     message.Report
	reportedAt time.Time
	// followedAt is the start of the newest round that the member has answered.
	followedAt  time.Time
	heartbeatAt time.Time
}

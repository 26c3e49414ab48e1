package candidate

import (
	"time"

	"redwingsill/core/message"
)

// promise is a member's answer to a request to follow the candidate.
type promise struct {
	reply      message.Followed
	receivedAt time.Time
}

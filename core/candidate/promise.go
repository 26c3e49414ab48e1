package candidate

import (
	"time"

	"redwingsill/core/message"
)

// promise is a member's answer and when it came.
type promise struct {
	reply      message.Followed
	receivedAt time.Time
}

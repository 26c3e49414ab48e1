package candidate

import (
	"time"

	"redwingsill/core/message"
)

// promise is a member's answer to a request for its promise. A refusal has a reply that is not accepted.
type promise struct {
	reply      message.Followed
	receivedAt time.Time
}

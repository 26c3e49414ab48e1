package candidate

import (
	"time"

	"redwingsill/core/message"
)

// answer is a member's answer to a request for its promise: a promise if Accepted is set in the reply, otherwise a
// refusal.
type answer struct {
	reply      message.Followed
	receivedAt time.Time
}

package candidate

import (
	"time"

	"redwingsill/core/message"
)

// answer is a member's answer to a request for its promise: a promise if the reply is accepted, else a refusal.
type answer struct {
	reply      message.Followed
	receivedAt time.Time
}

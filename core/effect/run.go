package effect

import (
	"time"

	"redwingsill/core/grant"
	"redwingsill/core/request"
)

// Run sends a request to a backend server. The sender must read the clock again before it writes the first byte and
// must not send after Deadline.
type Run struct {
	Server   string
	Ticket   uint64
	Request  request.Request
	Grant    grant.Grant
	Deadline time.Time
}

func (Run) effect() {}

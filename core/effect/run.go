package effect

import (
	"time"

	"redwingsill/core/grant"
	"redwingsill/core/request"
)

// Run sends a request to a backend server. Before its first byte is sent the clock must be read again: past Deadline
// the request must not be sent.
type Run struct {
	Server   string
	Ticket   uint64
	Request  request.Request
	Grant    grant.Grant
	Deadline time.Time
}

func (Run) effect() {}

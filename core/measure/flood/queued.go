package flood

import (
	"redwingsill/core/request"
)

// queued is a request in a plain line.
type queued struct {
	ticket  uint64
	request request.Request
}

package flood

import (
	"time"

	"redwingsill/core/request"
)

// pendingRequest is a request without an outcome.
type pendingRequest struct {
	stream    stream
	arrivedAt time.Time
	request   request.Request
	attempts  int
	// isCounted marks requests that arrived in the measurement window.
	isCounted bool
}

package flood

import (
	"time"

	"redwingsill/core/request"
)

// pendingRequest is a request that has no final outcome yet.
type pendingRequest struct {
	stream    stream
	arrivedAt time.Time
	request   request.Request
	// attempts counts how often the request was submitted, including the first time.
	attempts int
	// isCounted marks requests that arrived in the measurement window.
	isCounted bool
}

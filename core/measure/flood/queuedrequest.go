package flood

import "redwingsill/core/request"

// queuedRequest is a request that waits in a first-come-first-served queue.
type queuedRequest struct {
	ticket  uint64
	request request.Request
}

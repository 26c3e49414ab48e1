package host

import (
	"time"

	"redwingsill/core/request"
)

// pendingRequest is a request that this host has accepted and not answered.
type pendingRequest struct {
	request request.Request
	// from is the peer that forwarded the request, or "" if a caller sent it.
	from string
	// ticket is the ID of the request at its sender.
	ticket uint64
	// server is the backend server that the sender has chosen, or "".
	server string
	// hops is the number of entry hosts that the request has passed through before this one.
	hops int
	// attempts is the number of attempts made by this host.
	attempts int
	// retryAt is when the request is sent again, or zero while an attempt is in progress.
	retryAt time.Time
	// target is the peer or backend server that has the request at present.
	target string
}

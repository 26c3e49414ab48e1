package host

import (
	"time"

	"redwingsill/core/request"
)

// call is a request that this host has taken and not answered.
type call struct {
	request request.Request
	// from and ticket tell who asked: a peer, or a caller where from is empty.
	from     string
	ticket   uint64
	server   string
	hops     int
	attempts int
	// againAt is when the request is tried again, or zero while a try is under way.
	retryAt time.Time
	// asked is the peer or backend server that has the request at present.
	target string
}

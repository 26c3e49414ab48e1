package message

import "redwingsill/core/request"

// Forward sends a request on to the host that is to run it.
type Forward struct {
	Ticket  uint64
	Request request.Request
	// Server is the backend server meant, or "" to let the receiver choose.
	Server string `json:",omitempty"`
	// Hops counts the entry hosts that the request has passed.
	Hops int
}

func (Forward) message() {}

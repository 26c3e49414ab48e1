package message

import "redwingsill/core/request"

// Forward passes a request to the entry host that should run it.
type Forward struct {
	// Ticket identifies the request at the sender.
	Ticket  uint64
	Request request.Request
	// Server is the target backend server; when empty, the receiver chooses one.
	Server string `json:",omitempty"`
	// Hops is the number of entry hosts that the request has passed through, including the sender.
	Hops int
}

func (Forward) message() {}

package event

import "redwingsill/core/request"

// RequestReceived is a caller's request, received by this entry host and given a ticket.
type RequestReceived struct {
	Ticket  uint64
	Request request.Request
}

func (RequestReceived) event() {}

package event

import "redwingsill/core/request"

// Asked is a caller's request, received by this entry host under a ticket of its own.
type Asked struct {
	Ticket  uint64
	Request request.Request
}

func (Asked) event() {}

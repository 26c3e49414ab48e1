package event

import "redwingsill/core/request"

// Submitted passes a request to the lease holder of a backend server.
type Submitted struct {
	Server  string
	Ticket  uint64
	Request request.Request
}

func (Submitted) event() {}

// ServerName implements [ServerEvent].
func (e Submitted) ServerName() string { return e.Server }

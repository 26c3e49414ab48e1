package event

import "redwingsill/core/outcome"

// Finished is the end of an attempt on a backend server.
type Finished struct {
	Server  string
	Ticket  uint64
	Outcome outcome.Outcome
	// Shed says that the server refused because it had too much to do.
	Shed bool
}

func (Finished) event() {}

// ServerName implements [ServerEvent].
func (e Finished) ServerName() string { return e.Server }

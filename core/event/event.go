// Package event holds all that can happen to an entry host.
package event

// Event is something that happened to an entry host.
//
//sumtype:decl
type Event interface {
	event()
}

// ServerEvent is an event that concerns the steward of one backend server.
type ServerEvent interface {
	Event
	// ServerName returns the name of the backend server.
	ServerName() string
}

// Package event defines the events that an entry host handles.
package event

// Event is an input of an entry host's state machine.
//
//sumtype:decl
type Event interface {
	event()
}

// Package event holds all that can happen to an entry host.
package event

// Event is something that happened to an entry host.
//
//sumtype:decl
type Event interface {
	event()
}

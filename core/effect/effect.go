// Package effect defines the actions that an entry host's state machine requests.
package effect

// Effect is an action requested by the state machine.
//
//sumtype:decl
type Effect interface {
	effect()
}

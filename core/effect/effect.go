// Package effect holds all that an entry host's decisions ask to be done.
package effect

// Effect is something that the decisions ask for.
//
//sumtype:decl
type Effect interface {
	effect()
}

// Package message holds what entry hosts say to each other.
package message

// Message is one message between two entry hosts. The variants are [Follow], [Followed], [Report], [Heartbeat], [Adopt],
// [Adopted], [Forward] and [Forwarded].
//
//sumtype:decl
type Message interface {
	message()
}

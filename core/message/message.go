// Package message defines the messages that entry hosts send to each other.
package message

// Message is a message between two entry hosts. The variants are [Follow], [Followed], [Report], [Heartbeat], [Adopt],
// [Adopted], [Forward] and [Forwarded].
//
//sumtype:decl
type Message interface {
	message()
}

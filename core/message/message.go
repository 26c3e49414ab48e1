// Package message defines the messages by which entry hosts elect a leader, renew leases, hand over dedup entries
// and forward requests.
package message

// Message is a message between two entry hosts. The variants are [Follow], [Followed], [Report], [Heartbeat], [Adopt],
// [Adopted], [Forward] and [Forwarded].
//
//sumtype:decl
type Message interface {
	message()
}

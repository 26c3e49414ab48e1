// Package notification holds what entry hosts tell each other about slots and about their contact with the store.
package notification

// Notification is one message between entry hosts. The variants are [Asked], [Queued], [Placed], [Refused],
// [Declined], [Dropped], [Reported], [Held], [Ping], [Pong], [ContactAsked] and [ContactTold].
//
//sumtype:decl
type Notification interface {
	notice()
}

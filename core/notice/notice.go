// Package notice holds what entry hosts tell each other about slots.
package notice

// Notice is one message between entry hosts. The variants are [Asked], [Queued], [Placed], [Refused],
// [Declined], [Dropped], [Reported], [Held], [Ping] and [Pong].
//
//sumtype:decl
type Notice interface {
	notice()
}

// Package notification holds the messages that entry hosts exchange about slots, each of which allows one concurrent
// request to a backend server, and about whether they reach the store.
package notification

// Notification is one message between entry hosts. The variants are [SlotRequested], [Queued], [Placed], [Refused],
// [Declined], [Cancelled], [AttemptReported], [ServerAnnounced], [ServerCold], [HeldSlots], [Ping], [Pong], [ReachabilityRequested] and
// [ReachabilityReported].
//
//sumtype:decl
type Notification interface {
	notification()
}

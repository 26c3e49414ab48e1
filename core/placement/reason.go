package placement

// Reason is why a slot request was refused.
type Reason string

// The reasons for a refusal.
const (
	Overload    Reason = "Overload"    // the queue is too long for the request's deadline
	NoServers   Reason = "NoServers"   // no backend server of the service can take the request
	NoOwner     Reason = "NoOwner"     // the key has no owner that serves it, and the request has waited too long
	Unreachable Reason = "Unreachable" // the requesting host can't reach the key's owner, or the owner is backing off
	Expired     Reason = "Expired"     // the deadline passed while the request waited
	Stopping    Reason = "Stopping"    // the requesting host shuts down
)

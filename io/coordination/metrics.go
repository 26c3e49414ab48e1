package coordination

import "redwingsill/core/ownershipevent"

// Metrics counts what the coordinator does.
type Metrics interface {
	// CountFreedRange counts a key range of a service that was freed for a new owner, and why.
	CountFreedRange(service string, reason ownershipevent.Reason)
	// CountFencedRange counts a key range of a service whose owner was granted it under a higher token before its release, and why.
	CountFencedRange(service string, reason ownershipevent.LateGrant)
}

package ownershipevent

// LateGrant is why a grant of a range to its owner could still take effect after the owner has released the range.
type LateGrant uint8

// The reasons for which a grant could take effect late.
const (
	// NoLateGrant: no grant can.
	NoLateGrant LateGrant = iota
	// Inherited: an earlier coordinator may have sent one.
	Inherited
	// InFlight: one has no result yet.
	InFlight
	// Unanswered: one was lost.
	Unanswered
	// Presumed: one has an answer that may belong to an earlier call.
	Presumed
	// Superseded: the owner has seen a higher token, which an earlier coordinator must have sent.
	Superseded
)

var lateGrantNames = [...]string{"NoLateGrant", "Inherited", "InFlight", "Unanswered", "Presumed", "Superseded"}

// String returns the name of the reason, or "Unknown".
func (l LateGrant) String() string {
	if int(l) < len(lateGrantNames) {
		return lateGrantNames[l]
	}
	return "Unknown"
}

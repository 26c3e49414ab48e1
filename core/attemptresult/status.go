package attemptresult

// Status is how an attempt at a backend server ended.
type Status uint8

// The statuses of an attempt.
const (
	// Unsent means that the host returned the slot without sending the request.
	Unsent Status = iota
	// Answered means that a complete answer arrived.
	Answered
	// Failed means that the answer was a server error or was cut off.
	Failed
	// Refused means that the backend server was overloaded and did not run the request.
	Refused
	// NotOwner means that the backend server does not own the key.
	NotOwner
	// Unreachable means that no connection could be established.
	Unreachable
	// Silent means that no answer arrived before the timeout.
	Silent
	// Left means that the caller disconnected while the request ran.
	Left
	// Replaced means that another incarnation of the backend server answers at the address.
	Replaced
)

var statusNames = [...]string{"Unsent", "Answered", "Failed", "Refused", "NotOwner", "Unreachable", "Silent", "Left", "Replaced"}

// String returns the name of the status, or "Unknown".
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "Unknown"
}

package attemptresult

// Status is how an attempt at a backend server ended.
type Status uint8

// The statuses of an attempt.
const (
	// Unsent means that the host returned the slot without sending the request.
	Unsent Status = iota
	// Answered means that a complete answer arrived that reports no failure of the backend server.
	Answered
	// Failed means that the answer reported a failure of the backend server, or that the connection broke before the
	// answer was complete.
	Failed
	// Refused means that the backend server answered that it did not run the request, for example under overload.
	Refused
	// NotOwner means that the backend server does not own the key.
	NotOwner
	// Unreachable means that no connection could be established.
	Unreachable
	// TimedOut means that no complete answer arrived before the timeout.
	TimedOut
	// Left means that the attempt was cancelled before the complete answer arrived, because the caller disconnected or
	// the entry host is shutting down. The request may have run.
	Left
	// Replaced means that a backend server with another ID answers at the address.
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

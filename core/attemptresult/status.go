package attemptresult

// Status is how a request ended at a backend server.
type Status uint8

// The results.
const (
	// Unsent says that the host gave the slot back before it sent anything.
	Unsent Status = iota
	// Answered says that a whole answer came.
	Answered
	// Failed says that the answer was a failure of the backend server's, or broke off.
	Failed
	// Refused says that the backend server had no room.
	Refused
	// NotOwner says that the backend server does not hold the key.
	NotOwner
	// Unreachable says that no connection could be made.
	Unreachable
	// Silent says that no answer came in time.
	Silent
	// Left says that the caller went away while the request ran.
	Left
	// Replaced says that another life answers at the address.
	Replaced
)

var names = [...]string{"Unsent", "Answered", "Failed", "Refused", "NotOwner", "Unreachable", "Silent", "Left", "Replaced"}

// String returns the result's name.
func (r Status) String() string {
	if int(r) < len(names) {
		return names[r]
	}
	return "Unknown"
}

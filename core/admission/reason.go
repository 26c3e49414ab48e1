package admission

// Reason is why a body is refused before it is read.
type Reason string

// The reasons for a refusal.
const (
	Link     Reason = "Link"     // the host's link has no room for the body
	Overload Reason = "Overload" // the service has just refused such requests
)

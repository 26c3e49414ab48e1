package resource

import "redwingsill/core/duration"

// Rank declares a priority class of requests.
type Rank struct {
	Name string
	// Urgency orders the ranks; 0 is the most urgent.
	Urgency int
	// Target is the longest response time for which a response is credited with Worth.
	Target duration.Duration
	// Worth is the value of one response within the target, in a unit that the operators choose.
	Worth float64
	// Floor is the minimum share of a backend server's work that the rank receives when other ranks overload the server.
	// It is at least 0 and less than 1.
	Floor float64
	// QueueLimit is the maximum number of the rank's requests that wait at one backend server.
	QueueLimit int
	// Default marks the rank of requests that name no rank.
	Default bool
}

// ResourceName implements [Resource].
func (r Rank) ResourceName() string { return r.Name }

func (Rank) resource() {}

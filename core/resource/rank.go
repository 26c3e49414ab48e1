package resource

import "redwingsill/core/duration"

// Rank declares a rank of work.
type Rank struct {
	Name string
	// Urgency orders the ranks; 0 is the most urgent.
	Urgency int
	// Target is the time within which an answer earns its worth.
	Target duration.Duration
	// Worth is what one answer within the target is worth, in the operators' own unit.
	Worth float64
	// Floor is the share of a backend server's work, from 0 to 1, that the rank receives in a flood of others.
	Floor float64
	// QueueLimit bounds the rank's requests that wait at one backend server.
	QueueLimit int
	// Default marks the rank of requests that name none.
	Default bool
}

// ResourceName implements [Resource].
func (r Rank) ResourceName() string { return r.Name }

func (Rank) resource() {}

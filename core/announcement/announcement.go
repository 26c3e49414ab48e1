// Package announcement holds what a backend server says of itself in an answer.
package announcement

import "time"

// Announcement is what one answer says of the backend server that gave it. The zero value says nothing.
type Announcement struct {
	// IsLeaving is set if the server is leaving. It stays so for the rest of its life.
	IsLeaving bool
	// Pause is how long the server wants no requests from the host that received the answer, or 0.
	Pause time.Duration
	// ColdFor is how long the server stays cold, or 0 if it did not say so.
	ColdFor time.Duration
	// InvalidRetryAfter is a Retry-After that can't be read, shortened, or empty. It has no effect.
	InvalidRetryAfter string
}

// HasEffect reports whether the answer says something that counts for later requests.
func (a Announcement) HasEffect() bool { return a.IsLeaving || a.Pause > 0 }

// IsZero reports whether the answer says nothing of the server.
func (a Announcement) IsZero() bool { return a == Announcement{} }

package timeline

import "time"

// action is a function scheduled for a virtual time.
type action struct {
	dueAt time.Time
	// sequence orders actions that are due at the same time.
	sequence int64
	run      func()
}

package platform

import "redwingsill/core/duration"

// faults are the switches for the platform's faults.
type faults struct {
	// Down refuses every call. Freeze takes calls and answers none.
	Down   bool
	Freeze bool
	// Delay is added to each call.
	Delay duration.Duration
	// LoseAnswers closes the connection after each write has taken effect.
	LoseAnswers bool
	// LapseEarly ends leases at half their time.
	LapseEarly bool
	// ListLag is how old the list of hosts is.
	ListLag duration.Duration
	// MaxReads and MaxWrites bound the calls in a second; 0 is no bound.
	MaxReads  int
	MaxWrites int
}

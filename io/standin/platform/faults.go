package platform

import "redwingsill/core/duration"

// faults are the faults that the platform injects into calls.
type faults struct {
	// Down makes every call fail with status 503.
	Down bool
	// Freeze accepts calls but never responds.
	Freeze bool
	// Delay delays each call.
	Delay duration.Duration
	// LoseAnswers closes the connection instead of responding to a write, after the write has been applied.
	LoseAnswers bool
	// LapseEarly makes leases expire after half their TTL.
	LapseEarly bool
	// ListLag is the least age of the list of hosts that is returned.
	ListLag duration.Duration
	// MaxReads and MaxWrites limit the calls per second. 0 means no limit.
	MaxReads  int
	MaxWrites int
}

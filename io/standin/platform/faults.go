package platform

import "redwingsill/core/duration"

// faults configures how the stand-in disturbs calls. The zero value injects no fault.
type faults struct {
	// Down makes every call fail with status 503.
	Down bool
	// Freeze accepts calls but never responds.
	Freeze bool
	// Delay delays each call.
	Delay duration.Duration
	// LoseAnswers closes the connection instead of responding to a write, after the write has been applied.
	LoseAnswers bool
	// LapseEarly makes keys expire after half their TTL.
	LapseEarly bool
	// ListLag is the minimum age of the list of hosts that clients get. The first list is returned at any age.
	ListLag duration.Duration
	// MaxReads and MaxWrites are the maximum numbers of calls per second. There is no limit if they are 0 or less.
	MaxReads  int
	MaxWrites int
}

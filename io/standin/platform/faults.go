package platform

import "redwingsill/core/duration"

// faults holds the faults that the stand-in injects into calls. The zero value injects none.
type faults struct {
	// Down makes every call fail with status 503.
	Down bool
	// Freeze makes every call wait without a response until the client disconnects.
	Freeze bool
	// Delay is how long each call waits before the stand-in handles it.
	Delay duration.Duration
	// LoseAnswers closes the connection instead of responding to a write, after the write has been applied or, because
	// of a conflict, rejected.
	LoseAnswers bool
	// LapseEarly makes keys that are written with a TTL expire after half of it.
	LapseEarly bool
	// ListLag is how long a new list of hosts stays hidden from clients. The first list is never hidden.
	ListLag duration.Duration
	// MaxReads and MaxWrites are the maximum numbers of calls per second; further calls fail with status 503. Calls
	// other than writes count as reads. There is no limit if they are 0 or less.
	MaxReads  int
	MaxWrites int
}

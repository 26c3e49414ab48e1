package watch

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the average delay after a failure. Changes must arrive within one or two
	// seconds after the store recovers, and calls that it refuses cost it as much as others.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// eraGrace is how long an entry that is missing in the first list of a new era of the store stays. Backend servers, hosts and the
	// operator write theirs again within some 2 s.
	eraGrace = 3 * time.Second
	// maxDoublings bounds how often the delay is doubled, so that it does not overflow.
	maxDoublings = 6
)

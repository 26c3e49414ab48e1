package watch

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the average delay after a failure. Changes must arrive within one or two
	// seconds after the store recovers, and calls that it refuses cost it as much as others.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxDoublings bounds how often the delay is doubled, so that it does not overflow.
	maxDoublings = 6
)

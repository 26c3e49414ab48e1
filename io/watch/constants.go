package watch

import "time"

// minRetryDelay and maxRetryDelay bound the average delay after a failure. Changes must arrive within one or two
// seconds of the store's return, and refused calls cost the store as much as others.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

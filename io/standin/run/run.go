// Package run holds what a backend server's stand-in records.
package run

import "time"

// Run is one request that the server began to run.
type Run struct {
	Server    string
	Key       string
	RequestID string
	Grant     string
	Began     time.Time
	Ended     time.Time
	// IsWhole says that the run came to its end and was not cancelled.
	IsWhole bool
}

// Package run defines the records of the stand-in for backend servers.
package run

import "time"

// Run is the execution of one request by a backend server.
type Run struct {
	Server    string
	Key       string
	RequestID string
	Grant     string
	Began     time.Time
	Ended     time.Time
	// IsCompleted is true if the run was not canceled.
	IsCompleted bool `json:"IsWhole"`
}

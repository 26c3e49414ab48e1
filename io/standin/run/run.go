// Package run defines the record that a stand-in backend server keeps of each request that it ran.
package run

import "time"

// Run is the execution of one request by a backend server.
type Run struct {
	Server    string
	Key       string
	RequestID string
	// Grant is the text of the request's grant header, term and generation, such as "65.3".
	Grant string
	Began time.Time
	// Ended is zero while the request runs.
	Ended time.Time
	// IsCompleted is set if the run ended normally, and not because the request was cancelled or its deadline passed.
	IsCompleted bool `json:"IsWhole"`
}

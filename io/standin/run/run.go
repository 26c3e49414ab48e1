// Package run defines the records of the stand-in for backend servers.
package run

import "time"

// Run is the execution of one request by a backend server.
type Run struct {
	Server    string
	Key       string
	RequestID string
	// Grant is that of the request's header, such as "65.3".
	Grant string
	Began time.Time
	Ended time.Time
	// IsCompleted is true if the run ended normally, and not because the request was canceled or its deadline passed.
	IsCompleted bool `json:"IsWhole"`
}

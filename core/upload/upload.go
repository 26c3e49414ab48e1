// Package upload describes a request with a long body.
package upload

import "time"

// Upload is a request with a long body, of which only the head has been read.
type Upload struct {
	// ID is unique on the host. Consecutive ones spread decisions and returns evenly.
	ID uint64
	// Route and Service are where the request goes. IsSharded is set if only the owner of its key can serve it.
	Route, Service string
	IsSharded      bool
	// Length is the announced length of the body in bytes, or -1.
	Length int64
	// Objective and Deadline are the times by which the response is wanted, and must be complete.
	Objective, Deadline time.Time
}

// golden is 2^64 divided by the golden ratio, as in Fibonacci hashing.
const golden = 0x9E3779B97F4A7C15

// Spread returns a number from 0 to 1 that differs between consecutive uploads.
func (u Upload) Spread() float64 { return float64(u.ID*golden>>11) / (1 << 53) }

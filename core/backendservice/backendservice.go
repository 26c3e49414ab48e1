// Package backendservice holds the configuration of a service.
package backendservice

import "time"

// BackendService configures a service that backend servers provide.
type BackendService struct {
	Name string
	// MaxConnections is the maximum number of connections to one backend server, from all entry hosts together; 0 selects
	// defaultMaxConnections of io/forward. Each host may open an equal part of them, but at least minConnections of
	// io/forward, so many hosts together may exceed the maximum.
	MaxConnections int
	// HealthPath is the path of the health check of a backend server.
	HealthPath string
	// IsSharded reports whether each key has one owner.
	IsSharded bool
	// KeyWarmUpTime is how long requests for a key are slow after the key moved, if the new owner did not get
	// the previous owner's state.
	KeyWarmUpTime time.Duration
	// WarmUpTime is how long a backend server is cold after its start, and WarmUpRate the number of requests a second that it can
	// take meanwhile, or 0 if they are not bounded.
	WarmUpTime time.Duration
	WarmUpRate float64
}

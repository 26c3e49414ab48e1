// Package backendservice holds what the configuration says of a service.
package backendservice

import "time"

// BackendService is a service that backend servers offer.
type BackendService struct {
	Name string
	// MaxConnections bounds the connections to one backend server, of all entry hosts together.
	MaxConnections int
	// HealthPath is the path that tells a backend server's health.
	HealthPath string
	// IsDivided says that each key has one owner.
	IsDivided bool
	// Warm is how long keys are slow that come without their last owner's state.
	Warm time.Duration
}

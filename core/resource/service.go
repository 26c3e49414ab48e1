package resource

import "redwingsill/core/duration"

// Service declares a service that callers address by name.
type Service struct {
	Name string
	// DividedByKey is set for a sharded service, in which each key belongs to one backend server. Requests to other
	// services have no key; each of their request IDs belongs to one backend server.
	DividedByKey bool
	// Slots is the number of hash slots that keys and request IDs hash to.
	Slots int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxAttempt is the maximum duration of one attempt on a backend server, and therefore bounds the wait before
	// another owner may be assigned.
	MaxAttempt duration.Duration
}

// ResourceName implements [Resource].
func (s Service) ResourceName() string { return s.Name }

func (Service) resource() {}

package resource

import "redwingsill/core/duration"

// Service declares a service that callers address by name.
type Service struct {
	Name string
	// DividedByKey says that each key belongs to one backend server. Otherwise only request ids do.
	DividedByKey bool
	// Slots is the number of parts that keys and request ids hash to.
	Slots int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxAttempt bounds one attempt on a backend server, and so the wait before another owner may be named.
	MaxAttempt duration.Duration
}

// ResourceName implements [Resource].
func (s Service) ResourceName() string { return s.Name }

func (Service) resource() {}

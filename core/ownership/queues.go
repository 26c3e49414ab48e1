package ownership

import (
	"time"

	"redwingsill/core/keyload"
	"redwingsill/core/ownerload"
)

// Queues is what the coordinator must know of a service's requests. It is a pool.Pool.
type Queues interface {
	// Load returns the recent work for each key.
	Load() keyload.Load
	// Pressures returns how busy each owner is.
	Pressures(now time.Time) map[string]ownerload.OwnerLoad
	// WorkOf returns the average time that a request takes.
	WorkOf() time.Duration
	// Waiting returns how many requests wait.
	Waiting() int
}

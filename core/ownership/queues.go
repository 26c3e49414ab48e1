package ownership

import (
	"time"

	"redwingsill/core/keyload"
	"redwingsill/core/ownerload"
)

// Queues is what the coordinator must know of a service's requests. It is a pool.Pool.
type Queues interface {
	// Load returns the recent work for each key.
	KeyLoad() keyload.Load
	// Pressures returns how busy each owner is.
	OwnerLoads(now time.Time) map[string]ownerload.OwnerLoad
	// WorkOf returns the average time that a request takes.
	MeanServiceTime() time.Duration
	// Waiting returns how many requests wait.
	Waiting() int
}

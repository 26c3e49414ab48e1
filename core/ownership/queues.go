package ownership

import (
	"time"

	"redwingsill/core/keyload"
	"redwingsill/core/ownerload"
)

// Queues gives the coordinator a service's request queues and load. pool.Pool implements it.
type Queues interface {
	// Load returns the recent load of each key.
	Load() keyload.Load
	// Pressures returns the queue and the free slots of each owner, by incarnation.
	Pressures(now time.Time) map[string]ownerload.OwnerLoad
	// WorkOf returns the average duration of a request.
	WorkOf() time.Duration
	// Waiting returns the number of waiting requests.
	Waiting() int
}

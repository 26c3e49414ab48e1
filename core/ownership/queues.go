package ownership

import (
	"time"

	"redwingsill/core/keyload"
	"redwingsill/core/ownerload"
)

// Queues gives the coordinator a service's request queues and load. pool.Pool implements it.
type Queues interface {
	// KeyLoad returns the recent load of each key.
	KeyLoad() keyload.Load
	// OwnerLoads returns the waiting and running requests and the free slots of each owner, by incarnation.
	OwnerLoads(now time.Time) map[string]ownerload.OwnerLoad
	// MeanServiceTime returns the average duration of a request.
	MeanServiceTime() time.Duration
	// Waiting returns the number of waiting requests.
	Waiting() int
}

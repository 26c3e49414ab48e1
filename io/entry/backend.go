package entry

import (
	"sync/atomic"

	"redwingsill/core/leaseholder"
	"redwingsill/core/rcu"
	"redwingsill/io/backendserver"
)

// backend holds the lease holder of one backend server and the client for it. Only the control loop changes address and
// close.
type backend struct {
	leaseHolder *rcu.Value[leaseholder.LeaseHolder]
	client      atomic.Pointer[backendserver.Client]
	address     string // to which the client connects
	close       func() // closes the client's idle connections
}

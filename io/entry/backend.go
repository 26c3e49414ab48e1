package entry

import (
	"sync/atomic"

	"redwingsill/core/leaseholder"
	"redwingsill/core/rcu"
	"redwingsill/io/backendserver"
)

// post is the steward of one backend server and the connections to it.
type backend struct {
	leaseHolder *rcu.Value[leaseholder.LeaseHolder]
	client      atomic.Pointer[backendserver.Client]
	address     string
	close       func()
}

package entry

import (
	"sync/atomic"

	"redwingsill/core/leaseholder"
	"redwingsill/core/rcu"
	"redwingsill/io/backendserver"
)

// post is the steward of one backend server and the connections to it.
type post struct {
	steward *rcu.Value[leaseholder.LeaseHolder]
	client  atomic.Pointer[backendserver.BackendServer]
	address string
	close   func()
}

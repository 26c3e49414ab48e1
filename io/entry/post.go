package entry

import (
	"sync/atomic"

	"redwingsill/core/rcu"
	"redwingsill/core/steward"
	"redwingsill/io/backendserver"
)

// post is the steward of one backend server and the connections to it.
type post struct {
	steward *rcu.Value[steward.Steward]
	client  atomic.Pointer[backendserver.BackendServer]
	address string
	close   func()
}

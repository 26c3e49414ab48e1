package ownership

import "redwingsill/core/keyrange"

// pendingGrant is a grant call that has no result yet.
type pendingGrant struct {
	owner    string
	keyRange keyrange.Range
	fence    int64
	// address is the address to which the call was sent.
	address string
}

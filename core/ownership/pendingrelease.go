package ownership

import "redwingsill/core/keyrange"

// pendingRelease is a release call that has no result yet.
type pendingRelease struct {
	keyRange keyrange.Range
	// address is the address to which the call was sent.
	address string
}

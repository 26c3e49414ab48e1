package leader

import "redwingsill/core/release"

// order is an order of release that has been given.
type pendingRelease struct {
	release release.Release
	host    string
	isDone  bool
}

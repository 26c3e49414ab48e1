package leader

import "redwingsill/core/release"

// pendingRelease is a release requested of a lease holder. A release of units stays listed after it is done until the
// plan that needs it has been published or dropped.
type pendingRelease struct {
	release release.Release
	host    string
	isDone  bool
}

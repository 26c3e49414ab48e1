package leaseholder

import "redwingsill/core/release"

// releaseState is the progress of one release.
type releaseState struct {
	release release.Release
	// isDone is set when no covered request runs any more.
	isDone bool
}

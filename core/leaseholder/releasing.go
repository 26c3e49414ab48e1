package leaseholder

import "redwingsill/core/release"

// releasing is an order of release that this steward carries out.
type releasing struct {
	order  release.Release
	isDone bool
}

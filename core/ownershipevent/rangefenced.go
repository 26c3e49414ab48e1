package ownershipevent

import "redwingsill/core/keyrange"

// RangeFenced means that the owner of a range is granted the range under a higher token before it is asked for a release.
type RangeFenced struct {
	Range keyrange.Range
	// Owner is the incarnation that owns the range, and Fence the higher token.
	Owner string
	Fence int64
	// Reason is why the token is raised.
	Reason LateGrant
}

func (RangeFenced) isEvent() {}

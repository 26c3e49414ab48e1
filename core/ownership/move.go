package ownership

import (
	"time"

	"redwingsill/core/ownershipevent"
)

// move is the transfer of a range to another owner.
type move struct {
	// to is the incarnation that the range moves to.
	to    string
	stage stage
	// from is the incarnation that must release the range, or empty if the range has no owner; fromFence is the token of
	// that incarnation's grant.
	from      string
	fromFence int64
	// grantID and releaseID are the IDs of the grant and release calls in flight for the move, or 0.
	grantID   int64
	releaseID int64
	// retryAt is when the next call may be sent.
	retryAt time.Time
	// handover is the state that the old owner passed on when it released the range.
	handover string
	// lateGrant is why a grant could take effect after the release and undo it. Unless it is NoLateGrant, the fencing token is
	// raised before the release.
	lateGrant ownershipevent.LateGrant
	// isFencingLost is set if the last grant that raised the token got no response, and no release since then got one.
	isFencingLost bool
	// isReleaseLost is set once a release got no certain answer.
	isReleaseLost bool
	// toFence is the fencing token of the new owner, set once the map with that owner is being written.
	toFence int64
}

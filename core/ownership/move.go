package ownership

import "time"

// move is the transfer of a range to another owner.
type move struct {
	to    string
	stage stage
	// from is the owner that must release the range, and fromFence the token under which it holds it.
	from      string
	fromFence int64
	// grantID and releaseID are the IDs of the grant and release calls in flight for the move, or 0.
	grantID   int64
	releaseID int64
	// retryAt is when the next call may be sent.
	retryAt time.Time
	// handover is the state that the old owner passed on when it released the range.
	handover string
	// isLateGrantPossible is set when a grant in flight could undo the release. The fencing token is then raised first.
	isLateGrantPossible bool
	// toFence is the fencing token of the new owner, set once the map with that owner is being written.
	toFence int64
}

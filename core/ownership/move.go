package ownership

import "time"

// move is the transfer of a range to another owner.
type move struct {
	to    string
	stage stage
	// from is the owner that must release the range, and fromFence the token under which it holds it.
	from      string
	fromFence int64
	grantID   int64
	releaseID int64
	retryAt   time.Time
	handover  string
	// isLateGrantPossible is set when a grant in flight could undo the release. The fencing token is then raised first.
	isLateGrantPossible bool
	// toFence is the fencing token of the new owner.
	toFence int64
}

package ownership

import "time"

// move is a range on its way to another owner.
type move struct {
	to    string
	stage stage
	// from is the owner that must give the range up, under the token fence.
	from     string
	fence    int64
	grant    int64
	release  int64
	retryAt  time.Time
	handover string
	// isLateGrantPossible says that a grant under way could undo the release, so the token is raised first.
	isLateGrantPossible bool
	// next is the fencing token of the new owner.
	next int64
}

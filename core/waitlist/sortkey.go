package waitlist

import (
	"time"

	"redwingsill/core/slotrequest"
)

// bucketWidth is the span of due times in one bucket.
const bucketWidth = int64(100 * time.Millisecond)

// sortKey orders requests by rank, then those that can meet their objective before late ones, then by due time, then by
// ticket. The due time is the objective, or the deadline of a late request.
type sortKey struct {
	rank   int
	isLate bool
	// due is in Unix nanoseconds.
	due    int64
	ticket uint64
}

func sortKeyOf(r slotrequest.SlotRequest, isLate bool) sortKey {
	due := r.Objective
	if isLate {
		due = r.Deadline
	}
	return sortKey{rank: r.Rank, isLate: isLate, due: due.UnixNano(), ticket: r.Ticket}
}

// bucket returns the lowest sort key of the bucket: that of the same rank, lateness and span of due times.
func (k sortKey) bucket() sortKey {
	rest := k.due % bucketWidth
	if rest < 0 {
		rest += bucketWidth
	}
	return sortKey{rank: k.rank, isLate: k.isLate, due: k.due - rest}
}

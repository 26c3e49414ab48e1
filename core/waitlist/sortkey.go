package waitlist

import "redwingsill/core/slotrequest"

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

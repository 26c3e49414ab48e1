package waitlist

import "redwingsill/core/slotrequest"

// place orders requests: by rank, then those in time, then by the time at which they lose worth, then by arrival.
type place struct {
	rank   int
	isLate bool
	until  int64
	ticket uint64
}

func placeOf(a slotrequest.SlotRequest, isLate bool) place {
	until := a.Objective
	if isLate {
		until = a.Deadline
	}
	return place{rank: a.Rank, isLate: isLate, until: until.UnixNano(), ticket: a.Ticket}
}

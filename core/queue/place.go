package queue

import "cmp"

// place orders the items of one rank: by turn, then by deadline, then by arrival.
type place struct {
	turn     int
	deadline int64
	ticket   uint64
}

func placeOf(i Item) place {
	return place{turn: i.turn, deadline: i.Request.Deadline.UnixNano(), ticket: i.Ticket}
}

// comparer compares places for a sorted map.
type comparer struct{}

// Compare implements immutable.Comparer.
func (comparer) Compare(a, b place) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.ticket, b.ticket))
}

package queue

import (
	"redwingsill/core/item"
)

// place orders the items of one rank: by turn, then by deadline, then by arrival.
type place struct {
	turn     int
	deadline int64
	ticket   uint64
}

func placeOf(i item.Item) place {
	return place{turn: i.Turn, deadline: i.Request.Deadline.UnixNano(), ticket: i.Ticket}
}

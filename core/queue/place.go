package queue

import (
	"redwingsill/core/queueitem"
)

// place orders the items of one rank: by turn, then by deadline, then by arrival.
type place struct {
	turn     int
	deadline int64
	ticket   uint64
}

func placeOf(i queueitem.QueueItem) place {
	return place{turn: i.Turn, deadline: i.Request.Deadline.UnixNano(), ticket: i.Ticket}
}

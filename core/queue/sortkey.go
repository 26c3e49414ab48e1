package queue

import "redwingsill/core/queueitem"

// sortKey orders the items of one rank by turn, then deadline, then arrival, since tickets rise with time.
type sortKey struct {
	turn int
	// deadline is in Unix nanoseconds.
	deadline int64
	ticket   uint64
}

func sortKeyOf(i queueitem.QueueItem) sortKey {
	return sortKey{turn: i.Turn, deadline: i.Request.Deadline.UnixNano(), ticket: i.Ticket}
}

package queue

import "cmp"

// comparer orders sort keys by turn, deadline and ticket.
type comparer struct{}

// Compare implements immutable.Comparer.
func (comparer) Compare(a, b sortKey) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.ticket, b.ticket))
}

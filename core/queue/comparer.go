package queue

import (
	"cmp"
)

// comparer compares places for a sorted map.
type comparer struct{}

// Compare implements immutable.Comparer.
func (comparer) Compare(a, b place) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.ticket, b.ticket))
}

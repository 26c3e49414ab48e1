package waitlist

import "cmp"

// comparer compares places for a sorted map.
type comparer struct{}

// Compare implements immutable.Comparer.
func (comparer) Compare(a, b place) int {
	late := 0
	if a.isLate != b.isLate {
		late = 1
		if b.isLate {
			late = -1
		}
	}
	return cmp.Or(cmp.Compare(a.rank, b.rank), late, cmp.Compare(a.until, b.until), cmp.Compare(a.ticket, b.ticket))
}

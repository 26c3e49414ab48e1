package waitlist

import "cmp"

// comparer orders sort keys by rank, lateness, due time and ticket.
type comparer struct{}

// Compare implements immutable.Comparer.
func (comparer) Compare(a, b sortKey) int {
	late := 0
	if a.isLate != b.isLate {
		late = 1
		if b.isLate {
			late = -1
		}
	}
	return cmp.Or(cmp.Compare(a.rank, b.rank), late, cmp.Compare(a.due, b.due), cmp.Compare(a.ticket, b.ticket))
}

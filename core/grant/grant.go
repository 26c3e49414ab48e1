// Package grant defines the fencing token that orders the lease holders of a backend server.
package grant

// Grant is the fencing token of one lease on a backend server. Terms come from the group's durable term record and
// generations count the leases granted within a term, so no two lease holders ever have the same grant.
type Grant struct {
	Term       int64
	Generation int64
}

// Compare returns a negative number, 0 or a positive number if g is older than, equal to or newer than o.
func (g Grant) Compare(o Grant) int {
	if g.Term != o.Term {
		return sign(g.Term - o.Term)
	}
	return sign(g.Generation - o.Generation)
}

// IsZero reports whether g is the zero grant, which identifies no lease.
func (g Grant) IsZero() bool { return g == Grant{} }

func sign(n int64) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

// Package grant holds the fencing pair that orders the holders of one backend server.
package grant

// Grant names one holding of a backend server. Terms are drawn from a durable counter, and generations count the
// holdings within a term, so that no two holders ever have the same grant.
type Grant struct {
	Term       int64
	Generation int64
}

// Compare returns a number below, at or above 0 as g is older than, the same as or newer than o.
func (g Grant) Compare(o Grant) int {
	if g.Term != o.Term {
		return sign(g.Term - o.Term)
	}
	return sign(g.Generation - o.Generation)
}

// IsZero reports whether g names no holding.
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

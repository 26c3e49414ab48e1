// Package holding defines the assignment of a key range to its owner.
package holding

import "redwingsill/core/keyrange"

// Holding assigns a range of keys to one incarnation of a backend server under a fencing token.
type Holding struct {
	Range keyrange.Range
	// Owner is the incarnation of the backend server, as returned by instance.Instance.Incarnation.
	Owner string
	// Fence is the fencing token. A later owner of the same keys has a higher one.
	Fence int64
}

// WithRange returns the holding with its range replaced.
func (h Holding) WithRange(r keyrange.Range) Holding {
	h.Range = r
	return h
}

// WithOwner returns the holding assigned to another owner under that owner's token.
func (h Holding) WithOwner(owner string, fence int64) Holding {
	h.Owner, h.Fence = owner, fence
	return h
}

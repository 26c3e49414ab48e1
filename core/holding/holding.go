// Package holding holds who owns a range of keys.
package holding

import "redwingsill/core/keyrange"

// Holding gives a range of keys to one life of a backend server under a fencing token.
type Holding struct {
	Range keyrange.Range
	// Owner is the life of the backend server, as instance.Instance.Incarnation names it.
	Owner string
	// Fence is the fencing token. A later owner has a higher one.
	Fence int64
}

// WithRange returns the holding for another range.
func (h Holding) WithRange(r keyrange.Range) Holding {
	h.Range = r
	return h
}

// WithOwner returns the holding of another owner under another token.
func (h Holding) WithOwner(owner string, fence int64) Holding {
	h.Owner, h.Fence = owner, fence
	return h
}

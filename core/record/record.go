// Package record holds entries of a key-value store.
package record

// Record is an entry of a key-value store, or its removal.
type Record struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change, from one counter for all keys; 0 means that there is no entry.
	Revision int64
	// Lease is the ID of the store lease that the entry expires with, or 0.
	Lease int64
	// IsRemoved is set if the entry was removed at its revision.
	IsRemoved bool
}

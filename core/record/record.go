// Package record holds one entry of a key-value store.
package record

// Record is one entry of a key-value store, or its removal.
type Record struct {
	Key   string
	Value []byte
	// Revision is that of the last change. Revisions of all keys are drawn from one counter; 0 means that there is no entry.
	Revision int64
	// Lease is the lease that the entry ends with, or 0.
	Lease int64
	// IsRemoved says that the entry is gone since its revision.
	IsRemoved bool
}

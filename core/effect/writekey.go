package effect

import "time"

// WriteKey writes a key of the platform's key-value store if its revision equals ExpectedRevision; 0 means that the key
// must not exist. An empty value deletes the key.
type WriteKey struct {
	// ID identifies the call; the event that answers it has the same ID.
	ID               int64
	Key              string
	Value            []byte
	ExpectedRevision int64
	// TTL is the time after the write at which the key is deleted, or 0 to keep it.
	TTL time.Duration
}

func (WriteKey) effect() {}

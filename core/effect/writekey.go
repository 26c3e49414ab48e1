package effect

import "time"

// WriteKey writes a key of the platform's key-value store if its revision equals ExpectedRevision; 0 means that the key
// must not exist. A key with a TTL is deleted when the TTL has passed since the write. An empty value deletes the key.
type WriteKey struct {
	// ID identifies the call; the event that answers it has the same ID.
	ID               int64
	Key              string
	Value            []byte
	ExpectedRevision int64
	TTL              time.Duration
}

func (WriteKey) effect() {}

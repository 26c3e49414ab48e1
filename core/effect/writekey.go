package effect

import "time"

// WriteKey writes a key of the platform's key-value store if its revision equals ExpectedRevision; 0 means that the key
// must not exist. With a TTL the key is a lease and expires. An empty value deletes the key.
type WriteKey struct {
	ID               int64
	Key              string
	Value            []byte
	ExpectedRevision int64
	TTL              time.Duration
}

func (WriteKey) effect() {}

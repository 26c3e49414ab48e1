package effect

import "time"

// WriteKey writes a key of the platform's service if its revision is still Revision; 0 means that it is absent. With a
// TTL the key is a lease and lapses. An empty value deletes the key.
type WriteKey struct {
	ID       int64
	Key      string
	Value    []byte
	Revision int64
	TTL      time.Duration
}

func (WriteKey) effect() {}

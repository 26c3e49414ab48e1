package operator

import (
	"context"
	"time"
)

// store reads and writes keys of the platform's key-value service.
type store interface {
	// Read returns a key's value and revision, which is 0 if the key is absent. If after is negative, it returns at once;
	// otherwise it waits for a revision greater than after.
	Read(ctx context.Context, key string, after int64) ([]byte, int64, error)
	// Write writes a key if its revision is expectedRevision, and returns the new revision. With a ttl of 0 the key
	// doesn't expire.
	Write(ctx context.Context, key string, value []byte, expectedRevision int64, ttl time.Duration) (int64, error)
}

package operator

import (
	"context"
	"time"
)

// store reads and writes keys of the platform's key-value store.
type store interface {
	// Read returns a key's value and revision. The revision is 0 if the key is absent. If after is negative, Read
	// returns at once; otherwise it waits for a revision greater than after, for a limited time.
	Read(ctx context.Context, key string, after int64) ([]byte, int64, error)
	// Write writes a key if its revision is expectedRevision, and returns the new revision. The key expires after ttl,
	// or never if ttl is 0.
	Write(ctx context.Context, key string, value []byte, expectedRevision int64, ttl time.Duration) (int64, error)
}

package operator

import (
	"context"
	"time"
)

// store reads and writes keys of the platform's key-value service.
type store interface {
	Read(ctx context.Context, key string, after int64) ([]byte, int64, error)
	Write(ctx context.Context, key string, value []byte, revision int64, ttl time.Duration) (int64, error)
}

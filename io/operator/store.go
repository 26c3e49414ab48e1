package operator

import (
	"context"
	"time"
)

// store is what the front end needs of the platform's service.
type store interface {
	Read(ctx context.Context, key string, after int64) ([]byte, int64, error)
	Write(ctx context.Context, key string, value []byte, revision int64, ttl time.Duration) (int64, error)
}

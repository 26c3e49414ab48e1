package coordination

import (
	"context"
	"time"

	"redwingsill/core/record"
	"redwingsill/core/transaction"
)

// Store is the key-value store. Its errors have a kind: Unavailable where nothing was done, Unknown where the call may
// still take effect, Conflict where a condition did not hold, NotFound where a lease has ended.
type Store interface {
	Get(ctx context.Context, key string) (record.Record, error)
	Commit(ctx context.Context, t transaction.Transaction) (int64, error)
	Lease(ctx context.Context, length time.Duration) (int64, time.Duration, error)
	Keep(ctx context.Context, lease int64) error
	End(ctx context.Context, lease int64) error
}

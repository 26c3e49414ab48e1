package watch

import (
	"context"
	"time"

	"redwingsill/core/record"
)

// Store is the store that is followed.
type Store interface {
	// List returns all entries under a prefix and a revision at which watching may begin. A list that may be stale costs
	// less and may be some seconds old.
	List(ctx context.Context, prefix string, mayBeStale bool) ([]record.Record, int64, error)
	// Watch waits for changes after a revision, up to a time, and returns them in order, and where to go on. An error of
	// kind NotFound says that the history is gone, one of kind Unavailable that the same call may be made again.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error)
}

package watch

import (
	"context"
	"time"

	"redwingsill/core/record"
)

// Store lists and watches the entries of a key-value store.
type Store interface {
	// List returns all entries under a prefix, and the revision to watch from. With mayBeStale the list costs less and may
	// be some seconds old.
	List(ctx context.Context, prefix string, mayBeStale bool) ([]record.Record, int64, error)
	// Watch waits for changes after a revision for at most wait. It returns them in order, and the revision to watch from
	// next. An error of kind NotFound means that the history no longer reaches back to the revision, one of kind
	// Unavailable that the same call may be retried.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error)
}

package follow

import (
	"context"

	"redwingsill/core/record"
)

// Store is the store that is followed.
type Store interface {
	// List returns all entries under a prefix and a revision at which watching may begin.
	List(ctx context.Context, prefix string) ([]record.Record, int64, error)
	// Watch waits for changes after a revision and returns them in order, and where to go on. An error of kind NotFound
	// says that the history is gone, one of kind Unavailable that the same call may be made again.
	Watch(ctx context.Context, prefix string, after int64) ([]record.Record, int64, error)
}

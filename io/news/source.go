package news

import (
	"context"
	"time"

	"redwingsill/core/record"
)

// Source is what an entry host tells others of the store. Errors have a kind as those of follow.Store do.
type Source interface {
	// Entries returns all entries under a prefix and the revision as of which they are.
	Entries(ctx context.Context, prefix string) ([]record.Record, int64, error)
	// Changes waits for changes after a revision, up to a time, and returns them with the revision to go on from.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error)
}

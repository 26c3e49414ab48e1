package updates

import (
	"context"
	"time"

	"redwingsill/core/update"
)

// Source is what an entry host tells others of the store. Errors have a kind as those of watch.Store do.
type Source interface {
	// Entries returns all entries under a prefix.
	Entries(ctx context.Context, prefix string) (update.Update, error)
	// Changes waits for changes after a revision, up to a time.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (update.Update, error)
}

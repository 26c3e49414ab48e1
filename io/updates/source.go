package updates

import (
	"context"
	"time"

	"redwingsill/core/update"
)

// Source provides the entries of the store to other entry hosts. Its errors have the same kinds as those of
// [redwingsill/io/watch.Store], or Invalid for a prefix that it does not have.
type Source interface {
	// Entries returns all entries under a prefix.
	Entries(ctx context.Context, prefix string) (update.Update, error)
	// Changes returns the changes under a prefix after a revision. It waits for them for at most wait, and then returns
	// none.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (update.Update, error)
}

package caller

import (
	"context"
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/snapshot"
)

// entryHost is an entry host as the front end uses it.
type entryHost interface {
	Now() time.Time
	Snapshot() *snapshot.Snapshot
	Serve(ctx context.Context, r request.Request) outcome.Outcome
}

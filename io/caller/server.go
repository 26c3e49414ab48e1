package caller

import (
	"context"
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/snapshot"
)

// server is what the front end needs of an entry host.
type server interface {
	Now() time.Time
	Snapshot() *snapshot.Snapshot
	Serve(ctx context.Context, r request.Request) outcome.Outcome
}

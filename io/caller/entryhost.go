package caller

import (
	"context"
	"time"

	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/snapshot"
)

// entryHost is the part of an entry host that the front end needs.
type entryHost interface {
	// Now returns the time of the host's clock, in which the deadlines of requests are given.
	Now() time.Time
	// Snapshot returns the routing snapshot, which must not be modified.
	Snapshot() *snapshot.Snapshot
	Serve(ctx context.Context, r request.Request) outcome.Outcome
}

package relay

import (
	"context"
	"net/netip"
	"time"

	"redwingsill/core/update"
)

// Peers requests store updates from other entry hosts. An error of kind NotFound means that the host's history does not
// reach back to the revision, one of kind Unavailable that the host has no fresh entries.
// [redwingsill/io/updates.Client] implements it.
type Peers interface {
	// Entries returns all entries under a prefix from a host.
	Entries(ctx context.Context, host netip.AddrPort, prefix string) (update.Update, error)
	// Changes returns the changes under a prefix after a revision from a host, which waits for them for at most wait.
	Changes(ctx context.Context, host netip.AddrPort, prefix string, after int64, wait time.Duration) (update.Update, error)
}

package relay

import (
	"context"
	"net/netip"
	"time"

	"redwingsill/core/update"
)

// Peers asks other entry hosts what the store holds. It is a [redwingsill/io/updates.Updates].
type Peers interface {
	Entries(ctx context.Context, at netip.AddrPort, prefix string) (update.Update, error)
	Changes(ctx context.Context, at netip.AddrPort, prefix string, after int64, wait time.Duration) (update.Update, error)
}

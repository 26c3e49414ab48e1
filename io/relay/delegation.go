package relay

import "context"

// delegation is a period in which this host lets other hosts read the store for it. Its context is cancelled when this
// host becomes a relaying host.
type delegation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newDelegation() delegation {
	ctx, cancel := context.WithCancel(context.Background())
	return delegation{ctx: ctx, cancel: cancel}
}

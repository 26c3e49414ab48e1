package relay

import "context"

// delegation holds the context of the requests in which this host waits for changes from relaying hosts. It is cancelled
// when this host becomes a relaying host itself, which must read the store.
type delegation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newDelegation() delegation {
	ctx, cancel := context.WithCancel(context.Background())
	return delegation{ctx: ctx, cancel: cancel}
}

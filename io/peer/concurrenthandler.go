package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"redwingsill/io/task"
)

// concurrentHandler handles each forwarded request in its own goroutine, and all other calls in order.
type concurrentHandler struct {
	next  jsonrpc2.Handler
	tasks *task.Group
}

// Handle implements [jsonrpc2.Handler].
func (h concurrentHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method != methodForward {
		h.next.Handle(ctx, conn, r)
		return
	}
	h.tasks.Go(func(context.Context) { h.next.Handle(ctx, conn, r) })
}

package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"redwingsill/io/task"
)

// asyncAsks handles each request in a goroutine of its own, and all else in order.
type asyncAsks struct {
	next  jsonrpc2.Handler
	tasks *task.Group
}

// Handle implements [jsonrpc2.Handler].
func (a asyncAsks) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method != methodAsk {
		a.next.Handle(ctx, conn, r)
		return
	}
	a.tasks.Go(func(context.Context) { a.next.Handle(ctx, conn, r) })
}

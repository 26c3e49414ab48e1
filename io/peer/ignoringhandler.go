package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// ignoringHandler ignores calls on an outgoing connection. A host makes calls only on connections that it has dialled.
type ignoringHandler struct{}

// Handle implements [jsonrpc2.Handler].
func (ignoringHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

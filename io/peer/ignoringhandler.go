package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// ignoringHandler ignores calls on an outgoing connection. Hosts only call on the connections that they dialled.
type ignoringHandler struct{}

// Handle implements [jsonrpc2.Handler].
func (ignoringHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

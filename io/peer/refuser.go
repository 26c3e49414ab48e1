package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// refuser answers calls on an outgoing connection, which has none.
type refuser struct{}

// Handle implements [jsonrpc2.Handler].
func (refuser) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"redwingsill/core/message"
)

// connHandler handles the calls of one host on an incoming connection.
type connHandler struct {
	// from is the name of the calling host.
	from     string
	receiver receiver
	// cancels maps the ticket of each request being served to its context.CancelFunc.
	cancels *sync.Map
}

// Handle implements [jsonrpc2.Handler]. It drops malformed messages and cancellations. [concurrentHandler] runs it in
// its own goroutine for each forwarded request.
func (h connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Params == nil {
		return
	}
	switch r.Method {
	case methodMessage:
		var e envelope
		if err := json.Unmarshal(*r.Params, &e); err != nil {
			return
		}
		if m, err := decode(e); err == nil {
			h.receiver.Receive(h.from, m)
		}
	case methodForward:
		var forward message.Forward
		if err := json.Unmarshal(*r.Params, &forward); err != nil {
			_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		h.cancels.Store(forward.Ticket, cancel)
		defer h.cancels.Delete(forward.Ticket)
		response := h.receiver.ServeForwarded(ctx, h.from, forward)
		response.Ticket = forward.Ticket
		_ = conn.Reply(ctx, r.ID, newWireForwarded(response))
	case methodCancel:
		var ticket uint64
		if err := json.Unmarshal(*r.Params, &ticket); err != nil {
			return
		}
		if cancel, ok := h.cancels.Load(ticket); ok {
			cancel.(context.CancelFunc)()
		}
	default:
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method})
	}
}

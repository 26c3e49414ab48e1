package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"redwingsill/core/message"
)

// serving handles what one other host sends over its connection.
type serving struct {
	from     string
	receiver receiver
	// cancels ends the requests that are being served, by ticket.
	cancels *sync.Map
}

// Handle implements [jsonrpc2.Handler]. Messages are handled in order; requests each in their own goroutine.
func (s serving) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
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
			s.receiver.Receive(s.from, m)
		}
	case methodAsk:
		var ask message.Forward
		if err := json.Unmarshal(*r.Params, &ask); err != nil {
			_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.cancels.Store(ask.Ticket, cancel)
		defer s.cancels.Delete(ask.Ticket)
		answer := s.receiver.Ask(ctx, s.from, ask)
		answer.Ticket = ask.Ticket
		_ = conn.Reply(ctx, r.ID, toldOf(answer))
	case methodCancel:
		var ticket uint64
		if err := json.Unmarshal(*r.Params, &ticket); err != nil {
			return
		}
		if cancel, ok := s.cancels.Load(ticket); ok {
			cancel.(context.CancelFunc)()
		}
	default:
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method})
	}
}

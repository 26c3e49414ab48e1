package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"redwingsill/core/kind"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
)

const dialTimeout = 500 * time.Millisecond

// The jsonrpc2 methods between hosts.
const (
	methodMessage = "Message"
	methodAsk     = "Ask"
	methodCancel  = "Cancel"
)

// link is an outgoing connection to another host.
type link struct {
	rpc *jsonrpc2.Conn
}

// dial connects to the host that should have a name. What is sent is compressed where it deflates.
func dial(ctx context.Context, address, own, name string, secret []byte, deflates bool, sent, received *atomic.Int64) (*link, error) {
	const op = "dial"
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	got, inflates, err := handshake(conn, own, secret, roleCaller, deflates)
	if err == nil && got != name {
		err = newError(op, kind.Denied, errors.New(address+" is "+got+", not "+name))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s, err := newStream(conn, deflates, inflates, sent, received)
	if err != nil {
		_ = conn.Close()
		return nil, newError(op, kind.Unavailable, err)
	}
	return &link{rpc: jsonrpc2.NewConn(ctx, s, refuser{})}, nil
}

// isOpen reports whether the connection still stands.
func (l *link) isOpen() bool {
	select {
	case <-l.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (l *link) notify(ctx context.Context, m message.Message) error {
	e, err := encode(m)
	if err != nil {
		return err
	}
	if err := l.rpc.Notify(ctx, methodMessage, e); err != nil {
		return newError("notify", kind.Unavailable, err)
	}
	return nil
}

// ask sends a request on. It is NotRun only where the connection was closed before anything was sent.
func (l *link) ask(ctx context.Context, ask message.Forward) message.Forwarded {
	waiter, err := l.rpc.DispatchCall(ctx, methodAsk, ask)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return message.Forwarded{Ticket: ask.Ticket, Outcome: outcome.NotRun{Reason: "the connection to the peer was closed", Moved: true}}
	}
	if err != nil {
		return message.Forwarded{Ticket: ask.Ticket, Outcome: outcome.Unknown{Reason: "the peer may have the request: " + err.Error()}}
	}
	var raw json.RawMessage
	if err := waiter.Wait(ctx, &raw); err != nil {
		if ctx.Err() != nil {
			_ = l.rpc.Notify(context.WithoutCancel(ctx), methodCancel, ask.Ticket)
		}
		return message.Forwarded{Ticket: ask.Ticket, Outcome: outcome.Unknown{Reason: "the peer's answer was lost: " + err.Error()}}
	}
	m, err := decode(envelope{Kind: "Told", Message: raw})
	answer, ok := m.(message.Forwarded)
	if err != nil || !ok || answer.Ticket != ask.Ticket {
		return message.Forwarded{Ticket: ask.Ticket, Outcome: outcome.Unknown{Reason: "the peer's answer can't be read"}}
	}
	return answer
}

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

// dialTimeout bounds the time to connect, without the handshake.
const dialTimeout = 500 * time.Millisecond

// Names of the JSON-RPC methods between hosts, as sent on the wire.
const (
	methodMessage = "Message"
	methodForward = "Ask"
	methodCancel  = "Cancel"
)

// clientConn is an outgoing connection to another host.
type clientConn struct {
	rpc *jsonrpc2.Conn
}

// dial connects to a host and checks that it has the expected name. The connection compresses what it sends if
// compresses is set, and counts the bytes transferred after the handshake in sent and received. Each error is an
// [*Error], of kind Denied or Unavailable.
func dial(ctx context.Context, address, ownName, expectedName string, secret []byte, compresses bool, sent, received *atomic.Int64) (*clientConn, error) {
	const op = "dial"
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	peerName, decompresses, err := handshake(conn, ownName, secret, roleDialer, compresses)
	if err == nil && peerName != expectedName {
		err = newError(op, kind.Denied, errors.New(address+" is "+peerName+", not "+expectedName))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s, err := newStream(conn, compresses, decompresses, sent, received)
	if err != nil {
		_ = conn.Close()
		return nil, newError(op, kind.Unavailable, err)
	}
	return &clientConn{rpc: jsonrpc2.NewConn(ctx, s, ignoringHandler{})}, nil
}

// isOpen reports whether the connection has not been closed.
func (c *clientConn) isOpen() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// notify sends a message that has no response.
func (c *clientConn) notify(ctx context.Context, m message.Message) error {
	e, err := encode(m)
	if err != nil {
		return err
	}
	if err := c.rpc.Notify(ctx, methodMessage, e); err != nil {
		return newError("notify", kind.Unavailable, err)
	}
	return nil
}

// forward sends a request to the host and waits for the outcome. Without a response, the outcome is NotRun only if the
// connection was closed before the whole request was sent, and Unknown otherwise. If ctx ends first, the host is asked
// to cancel the request.
func (c *clientConn) forward(ctx context.Context, forward message.Forward) message.Forwarded {
	waiter, err := c.rpc.DispatchCall(ctx, methodForward, forward)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return message.Forwarded{Ticket: forward.Ticket, Outcome: outcome.NotRun{Reason: "the connection to the peer was closed", Moved: true}}
	}
	if err != nil {
		return message.Forwarded{Ticket: forward.Ticket, Outcome: outcome.Unknown{Reason: "the peer may have the request: " + err.Error()}}
	}
	var raw json.RawMessage
	if err := waiter.Wait(ctx, &raw); err != nil {
		if ctx.Err() != nil {
			_ = c.rpc.Notify(context.WithoutCancel(ctx), methodCancel, forward.Ticket)
		}
		return message.Forwarded{Ticket: forward.Ticket, Outcome: outcome.Unknown{Reason: "the peer's answer was lost: " + err.Error()}}
	}
	m, err := decode(envelope{Kind: "Told", Message: raw})
	response, ok := m.(message.Forwarded)
	if err != nil || !ok || response.Ticket != forward.Ticket {
		return message.Forwarded{Ticket: forward.Ticket, Outcome: outcome.Unknown{Reason: "the peer's answer can't be read"}}
	}
	return response
}

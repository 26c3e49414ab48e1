// Package peer exchanges messages and forwarded requests with other entry hosts, by JSON-RPC over mutually
// authenticated TCP connections.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/io/task"
)

// Limits and delays of the connections to other hosts.
const (
	outboxSize        = 64                     // messages queued for one host; further ones are dropped
	redialDelay       = 200 * time.Millisecond // how long messages to a host are dropped after a failed dial
	unreachablePeriod = time.Second            // how long a host counts as unreachable after a failed dial
)

// Transport manages this host's connections to all other entry hosts. It is safe for concurrent use.
type Transport struct {
	name          string // of this host
	secret        []byte
	log           *slog.Logger
	tasks         *task.Group
	addressOf     func(name string) string
	mu            sync.Mutex
	outboxes      map[string]chan message.Message // by host name
	requestConns  map[string]*sharedConn          // by host name
	dialFailures  sync.Map                        // host name -> time.Time of the last failed dial
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// New returns the transport of the named host, and a function that closes its connections and waits until its
// goroutines have ended. The function addressOf returns the address at which a host listens for its peers, or "" if it
// is unknown.
func New(ctx context.Context, name string, secret []byte, addressOf func(name string) string, log *slog.Logger) (*Transport, func()) {
	tasks, stop := task.New(ctx)
	t := &Transport{name: name, secret: secret, log: log, tasks: tasks, addressOf: addressOf,
		outboxes: map[string]chan message.Message{}, requestConns: map[string]*sharedConn{}}
	return t, stop
}

// TransferredBytes returns the numbers of bytes sent to and received from other hosts, after compression and without
// handshakes.
func (t *Transport) TransferredBytes() (sent, received int64) {
	return t.sentBytes.Load(), t.receivedBytes.Load()
}

// Serve accepts other hosts' connections and passes their messages and requests to r, until the context of [New] ends
// or the function that it returned is called. It does not block.
func (t *Transport) Serve(listener net.Listener, r receiver) {
	t.tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	t.tasks.Go(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.tasks.Go(func(ctx context.Context) { t.serve(ctx, conn, r) })
		}
	})
}

// IsUnreachable reports whether dialling a host failed within the last unreachablePeriod.
func (t *Transport) IsUnreachable(name string) bool {
	at, ok := t.dialFailures.Load(name)
	return ok && time.Since(at.(time.Time)) < unreachablePeriod
}

// Send queues a message that has no response. Delivery is not guaranteed: the message is dropped if the queue is full
// or the host cannot be reached.
func (t *Transport) Send(to string, m message.Message) {
	t.mu.Lock()
	outbox, ok := t.outboxes[to]
	if !ok {
		outbox = make(chan message.Message, outboxSize)
		t.outboxes[to] = outbox
	}
	t.mu.Unlock()
	if !ok {
		t.tasks.Go(func(ctx context.Context) { t.deliver(ctx, to, outbox) })
	}
	select {
	case outbox <- m:
	default:
	}
}

// Forward forwards a request to a host and returns its outcome. If it cannot connect, the outcome is NotRun with Moved
// set, so that another route may be tried.
func (t *Transport) Forward(ctx context.Context, to string, forward message.Forward) message.Forwarded {
	t.mu.Lock()
	shared, ok := t.requestConns[to]
	if !ok {
		shared = &sharedConn{}
		t.requestConns[to] = shared
	}
	t.mu.Unlock()
	conn, err := shared.get(func() (*clientConn, error) { return t.dial(to, false) })
	if err != nil {
		return message.Forwarded{Ticket: forward.Ticket, Outcome: outcome.NotRun{Reason: "no connection to " + to + ": " + err.Error(), Moved: true}}
	}
	return conn.forward(ctx, forward)
}

// dial connects to a host. The connection compresses what this host sends if compresses is set, as it is for messages
// but not for requests. A failure's time is recorded for [Transport.IsUnreachable].
func (t *Transport) dial(to string, compresses bool) (*clientConn, error) {
	conn, err := dial(t.tasks.Context(), t.addressOf(to), t.name, to, t.secret, compresses, &t.sentBytes, &t.receivedBytes)
	if err != nil {
		t.dialFailures.Store(to, time.Now())
	}
	return conn, err
}

// serve authenticates an incoming connection and handles its calls until it is closed.
func (t *Transport) serve(ctx context.Context, conn net.Conn, r receiver) {
	from, decompresses, err := handshake(conn, t.name, t.secret, roleAcceptor, false)
	if err != nil {
		t.log.Warn("peer refused", "Remote", conn.RemoteAddr().String(), "Error", err.Error())
		_ = conn.Close()
		return
	}
	s, err := newStream(conn, false, decompresses, &t.sentBytes, &t.receivedBytes)
	if err != nil {
		_ = conn.Close()
		return
	}
	rpc := jsonrpc2.NewConn(ctx, s, concurrentHandler{next: connHandler{from: from, receiver: r, cancels: &sync.Map{}}, tasks: t.tasks})
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// deliver sends the messages of an outbox to a host in order. After a failed dial it drops messages for redialDelay.
func (t *Transport) deliver(ctx context.Context, to string, outbox <-chan message.Message) {
	var conn *clientConn
	var failedAt time.Time
	for {
		select {
		case <-ctx.Done():
			if conn != nil {
				_ = conn.rpc.Close()
			}
			return
		case m := <-outbox:
			if conn == nil || !conn.isOpen() {
				conn = nil
				if time.Since(failedAt) < redialDelay {
					continue
				}
				dialed, err := t.dial(to, true)
				if err != nil {
					failedAt = time.Now()
					t.log.Debug("peer unreachable", "Peer", to, "Error", err.Error())
					continue
				}
				conn = dialed
			}
			if err := conn.notify(ctx, m); err != nil {
				_ = conn.rpc.Close()
				conn = nil
			}
		}
	}
}

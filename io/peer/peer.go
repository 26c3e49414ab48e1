// Package peer speaks to the other entry hosts.
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

const (
	controlQueue = 64 // messages that may wait for one peer; more are lost
	redialPause  = 200 * time.Millisecond
	lostFor      = time.Second
)

// Peer is this host's end of the connections to all other entry hosts. Its methods may be called at the same time.
type Peer struct {
	name     string
	secret   []byte
	log      *slog.Logger
	tasks    *task.Group
	address  func(name string) string
	mu       sync.Mutex
	outboxes map[string]chan message.Message
	askers   map[string]*asker
	failures sync.Map // host name -> time.Time of the newest failure to connect
	sent     atomic.Int64
	received atomic.Int64
}

// New returns the connections of the named host, and its clean-up. The function address returns where a host listens,
// or "" where that is not known.
func New(ctx context.Context, name string, secret []byte, address func(name string) string, log *slog.Logger) (*Peer, func()) {
	tasks, wait := task.New(ctx)
	p := &Peer{name: name, secret: secret, log: log, tasks: tasks, address: address,
		outboxes: map[string]chan message.Message{}, askers: map[string]*asker{}}
	return p, wait
}

// Bytes returns the bytes sent to and received from other hosts so far.
func (p *Peer) Bytes() (sent, received int64) { return p.sent.Load(), p.received.Load() }

// Serve accepts other hosts' connections until the listener is closed.
func (p *Peer) Serve(listener net.Listener, r receiver) {
	p.tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	p.tasks.Go(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.tasks.Go(func(ctx context.Context) { p.serve(ctx, conn, r) })
		}
	})
}

// IsLost reports whether a host could not be reached lately.
func (p *Peer) IsLost(name string) bool {
	at, ok := p.failures.Load(name)
	return ok && time.Since(at.(time.Time)) < lostFor
}

// Send sends a message that wants no answer. It may be lost.
func (p *Peer) Send(to string, m message.Message) {
	p.mu.Lock()
	outbox, ok := p.outboxes[to]
	if !ok {
		outbox = make(chan message.Message, controlQueue)
		p.outboxes[to] = outbox
	}
	p.mu.Unlock()
	if !ok {
		p.tasks.Go(func(ctx context.Context) { p.deliver(ctx, to, outbox) })
	}
	select {
	case outbox <- m:
	default:
	}
}

// Ask sends a request on to a host and returns its outcome.
func (p *Peer) Ask(ctx context.Context, to string, ask message.Forward) message.Forwarded {
	p.mu.Lock()
	a, ok := p.askers[to]
	if !ok {
		a = &asker{}
		p.askers[to] = a
	}
	p.mu.Unlock()
	l, err := a.link(func() (*link, error) { return p.dial(to, false) })
	if err != nil {
		return message.Forwarded{Ticket: ask.Ticket, Outcome: outcome.NotRun{Reason: "no connection to " + to + ": " + err.Error(), Moved: true}}
	}
	return l.ask(ctx, ask)
}

func (p *Peer) dial(to string, deflates bool) (*link, error) {
	l, err := dial(p.tasks.Context(), p.address(to), p.name, to, p.secret, deflates, &p.sent, &p.received)
	if err != nil {
		p.failures.Store(to, time.Now())
	}
	return l, err
}

func (p *Peer) serve(ctx context.Context, conn net.Conn, r receiver) {
	from, inflates, err := handshake(conn, p.name, p.secret, roleCallee, false)
	if err != nil {
		p.log.Warn("peer refused", "Remote", conn.RemoteAddr().String(), "Error", err.Error())
		_ = conn.Close()
		return
	}
	s, err := newStream(conn, false, inflates, &p.sent, &p.received)
	if err != nil {
		_ = conn.Close()
		return
	}
	rpc := jsonrpc2.NewConn(ctx, s, asyncAsks{next: serving{from: from, receiver: r, cancels: &sync.Map{}}, tasks: p.tasks})
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// deliver sends the messages to one host in order.
func (p *Peer) deliver(ctx context.Context, to string, outbox <-chan message.Message) {
	var l *link
	var failedAt time.Time
	for {
		select {
		case <-ctx.Done():
			if l != nil {
				_ = l.rpc.Close()
			}
			return
		case m := <-outbox:
			if l == nil || !l.isOpen() {
				l = nil
				if time.Since(failedAt) < redialPause {
					continue
				}
				next, err := p.dial(to, true)
				if err != nil {
					failedAt = time.Now()
					p.log.Debug("peer unreachable", "Peer", to, "Error", err.Error())
					continue
				}
				l = next
			}
			if err := l.notify(ctx, m); err != nil {
				_ = l.rpc.Close()
				l = nil
			}
		}
	}
}

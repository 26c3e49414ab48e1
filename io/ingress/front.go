package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"redwingsill/core/limits"
	"redwingsill/core/rcu"
)

// acceptPause is the pause after a connection could not be accepted, for want of descriptors mostly.
const acceptPause = 20 * time.Millisecond

// front serves a listener by an HTTP server whose limits can change: connections that are open keep theirs.
type front struct {
	ingress *Ingress
	limits  limits.Limits
	current *rcu.Value[*handed]
	servers *rcu.Value[[]*http.Server]
}

// Front serves a listener with the limits that the newest configuration sets. With the context it stops to follow the
// limits; the returned function closes all connections.
func (i *Ingress) Front(ctx context.Context, listener net.Listener, changed <-chan struct{}) (<-chan error, func()) {
	f := &front{ingress: i, servers: rcu.New([]*http.Server(nil))}
	f.start(listener, i.routing.Read().Limits)
	accepted := make(chan error, 1)
	go func() { accepted <- f.accept(listener) }()
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-changed:
				if l := i.routing.Read().Limits; l != f.limits {
					f.start(listener, l)
				}
			case <-ctx.Done():
				ended <- nil
				return
			case err := <-accepted:
				ended <- err
				return
			}
		}
	}()
	return ended, func() {
		_ = listener.Close() // no caller is taken any more
		for _, s := range f.servers.Load() {
			_ = s.Close() // the process ends
		}
	}
}

// start serves new connections by a server of other limits.
func (f *front) start(listener net.Listener, l limits.Limits) {
	next := &handed{Listener: listener, conns: make(chan net.Conn), done: make(chan struct{})}
	server := f.ingress.Server(l)
	f.limits = l
	f.servers.Update(func(old []*http.Server) []*http.Server { return append(slices.Clone(old), server) })
	go func() { _ = server.Serve(next) }() // ends with the process
	if f.current == nil {
		f.current = rcu.New(next)
		return
	}
	f.current.Store(next)
}

func (f *front) accept(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			f.ingress.log.Warn("connection not accepted", "Error", err)
			time.Sleep(acceptPause)
			continue
		}
		f.current.Load().conns <- c
	}
}

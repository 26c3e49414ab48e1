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

// acceptPause is the pause after an error in Accept, which is mostly a lack of file descriptors.
const acceptPause = 20 * time.Millisecond

// reloadingServer serves a listener with limits that can change. It starts a new HTTP server for each change; open
// connections keep the limits that they began with.
type reloadingServer struct {
	ingress *Ingress
	// limits are those of the newest server.
	limits limits.Limits
	// listener passes accepted connections to the newest server.
	listener *rcu.Value[*chanListener]
	// servers holds all servers, since the older ones still serve their open connections.
	servers *rcu.Value[[]*http.Server]
}

// Serve accepts connections and applies the limits of the current configuration to new ones; changed signals a new
// configuration. When the context ends, it keeps serving but no longer applies new limits. The returned channel
// receives nil when the context ends or the listener is closed. The returned function closes the listener and all
// connections.
func (i *Ingress) Serve(ctx context.Context, listener net.Listener, changed <-chan struct{}) (<-chan error, func()) {
	s := &reloadingServer{ingress: i, servers: rcu.New([]*http.Server(nil))}
	s.start(listener, i.routing.Read().Limits)
	acceptEnded := make(chan error, 1)
	go func() { acceptEnded <- s.accept(listener) }()
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-changed:
				if l := i.routing.Read().Limits; l != s.limits {
					s.start(listener, l)
				}
			case <-ctx.Done():
				ended <- nil
				return
			case err := <-acceptEnded:
				ended <- err
				return
			}
		}
	}()
	return ended, func() {
		_ = listener.Close() // the process is about to exit
		for _, server := range s.servers.Load() {
			_ = server.Close() // the process is about to exit
		}
	}
}

// start creates an HTTP server with the limits and passes new connections to it.
func (s *reloadingServer) start(listener net.Listener, l limits.Limits) {
	next := &chanListener{Listener: listener, conns: make(chan net.Conn), done: make(chan struct{})}
	server := s.ingress.newServer(l)
	s.limits = l
	s.servers.Update(func(old []*http.Server) []*http.Server { return append(slices.Clone(old), server) })
	go func() { _ = server.Serve(next) }() // ends when the server is closed
	if s.listener == nil {
		s.listener = rcu.New(next)
		return
	}
	s.listener.Store(next)
}

// accept passes connections to the newest server until the listener is closed.
func (s *reloadingServer) accept(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.ingress.log.Warn("could not accept a connection", "Error", err)
			time.Sleep(acceptPause)
			continue
		}
		s.listener.Load().conns <- c
	}
}

// Package http1 is an HTTP/1.1 server for callers that send further requests on a connection before the first is
// answered. Unlike net/http's server it runs such pipelined requests at the same time; the responses are sent in the
// order of the requests. It uses net/http's parser and its [http.Handler].
package http1

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"redwingsill/core/limits"
	"redwingsill/io/task"
)

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	limits  func() limits.Limits
	log     *slog.Logger
	// readAhead counts the requests in progress that are not the first of their connection, and heldBytes the bytes of
	// responses that wait for earlier ones.
	readAhead atomic.Int64
	heldBytes atomic.Int64
	// awaitedCloses counts the connections with unread bodies that wait for their callers to close them.
	awaitedCloses atomic.Int64
	// drains is set once each connection is closed after the response to the last request that was read.
	drains atomic.Bool
	// mu guards connections, the open ones.
	mu          sync.Mutex
	connections map[*connection]struct{}
}

// New returns a server. The limits are read for each request, so that a change applies to open connections too.
//
// The handler is called at the same time for several requests of a connection. A response is sent in one piece, with a
// Content-Length, once the handler has returned, or at the Write that completes the Content-Length that the handler set.
// A handler must not run a request that must not run twice before [AwaitTurn] has returned true.
func New(handler http.Handler, currentLimits func() limits.Limits, log *slog.Logger) *Server {
	return &Server{handler: handler, limits: currentLimits, log: log, connections: map[*connection]struct{}{}}
}

// Serve accepts connections until the listener is closed. The returned channel then receives nil. The returned function
// closes the listener and all connections, and waits until the handlers have returned.
func (s *Server) Serve(ctx context.Context, listener net.Listener) (<-chan error, func()) {
	tasks, closeTasks := task.New(ctx)
	ended := make(chan error, 1)
	go func() { ended <- s.accept(tasks, listener) }()
	return ended, func() {
		_ = listener.Close() // accept then ends
		closeTasks()
	}
}

// Drain makes the response to the last request that was read from a connection close it. Requests that are still read
// from other connections are served.
func (s *Server) Drain() { s.drains.Store(true) }

// Shutdown closes the connections that are idle and, after the response to the last request that was read, the others. It
// returns when all are closed or the context ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	for {
		all := s.open()
		for _, c := range all {
			c.closeIfIdle()
		}
		if len(all) == 0 || !task.Sleep(ctx, shutdownPollInterval) {
			return
		}
	}
}

func (s *Server) accept(tasks *task.Group, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.log.Warn("could not accept a connection", "Error", err)
			time.Sleep(acceptPause)
			continue
		}
		if tasks.Context().Err() != nil {
			_ = raw.Close() // the server ends
			continue
		}
		tasks.Go(func(ctx context.Context) { s.serve(ctx, raw) })
	}
}

// serve serves one connection until it ends.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	c := newConnection(ctx, s, raw)
	defer context.AfterFunc(ctx, c.abort)() // a connection that is accepted while the server ends is closed too
	s.mu.Lock()
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	c.serve()
}

func (s *Server) open() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	return all
}

// ReadAhead returns the number of requests that were read before earlier ones of their connection were answered.
func (s *Server) ReadAhead() int64 { return s.readAhead.Load() }

// mayReadAhead reports whether requests may be read before earlier ones of their connection are answered.
func (s *Server) mayReadAhead() bool {
	return s.readAhead.Load() < maxReadAhead && s.heldBytes.Load() < maxHeldBytes
}

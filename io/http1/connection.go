package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connection is a caller's connection. One goroutine reads its requests, and each request has one of its own.
type connection struct {
	net.Conn
	server *Server
	// remote is the caller's address.
	remote  string
	bounded *boundedReader
	reader  *bufio.Reader
	// ctx ends when the caller has disconnected or the connection can't be used any more.
	ctx    context.Context
	cancel context.CancelFunc
	// mu guards the fields below.
	mu sync.Mutex
	// last is the newest request that was read, or nil, and pending counts the requests that are not answered.
	last    *exchange
	pending int
	// isClosing is set when no further request is read. The response to last then closes the connection, and isFinished
	// is set once it is sent.
	isClosing, isFinished bool
	// isWaiting is set while the reading goroutine waits for the first byte of a request, and isFull while it does so
	// because there are too many requests in progress.
	isWaiting, isFull bool
	// hasDeadline is set while the connection has a read deadline.
	hasDeadline bool
	// idleSince is the time of the last response, or of the start.
	idleSince time.Time
	// progress has an element after a response.
	progress chan struct{}
}

func newConnection(ctx context.Context, s *Server, raw net.Conn) *connection {
	c := &connection{Conn: raw, server: s, remote: raw.RemoteAddr().String(), idleSince: time.Now(), progress: make(chan struct{}, 1)}
	c.bounded = &boundedReader{from: raw, onHeadRead: c.startHeadTimeout}
	c.reader = bufio.NewReaderSize(c.bounded, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// serve reads requests until the connection ends, and returns when all their handlers have returned.
func (c *connection) serve() {
	// The channel has room for all handlers in progress. Their ends are received before the next one starts.
	ended := make(chan struct{}, maxPipelined+1)
	running := 0
	for c.awaitRequest() {
		request, failure := c.readRequest()
		if failure != nil && failure.status == 0 {
			break
		}
		e := c.admit(request, failure)
		if e == nil {
			break
		}
		for ; len(ended) > 0; running-- {
			<-ended
		}
		running++
		go func() {
			defer func() { ended <- struct{}{} }()
			e.run()
		}()
		e.body.awaitEnd()
	}
	c.linger()
	for range running {
		<-ended
	}
}

// admit adds a request that was read. It returns nil if the connection is closing, so that the request counts as unread.
func (c *connection) admit(r *http.Request, failure *requestError) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return nil
	}
	e := newExchange(c, r, failure, c.last)
	c.isClosing = failure != nil || r.Close
	c.last = e
	if c.pending++; c.pending > 1 {
		e.isAhead = true
		c.server.readAhead.Add(1)
	}
	return e
}

// beginResponse reports whether the response to e closes the connection. The handler wants that if closes is set; then
// no further request is read, and the response to the last one that was read closes the connection.
func (c *connection) beginResponse(e *exchange, closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = c.isClosing || closes || c.server.drains.Load()
	return c.isClosing && c.last == e
}

// endResponse notes that the response to e was sent.
func (c *connection) endResponse(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	switch {
	case c.isClosing && c.last == e:
		c.isFinished = true
		c.closeWrite()
		c.setReadDeadline(lingerTimeout)
	case !c.isWaiting:
	case c.isFull:
		c.interruptRead()
	case c.pending == 0:
		c.setReadDeadline(c.idleTimeout())
	}
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// interruptRead makes awaitRequest go on.
func (c *connection) interruptRead() {
	c.hasDeadline = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
}

// setReadDeadline sets the read deadline to the given time from now, or removes it if that is 0.
func (c *connection) setReadDeadline(after time.Duration) {
	if after == 0 && !c.hasDeadline {
		return
	}
	deadline := time.Time{}
	if after != 0 {
		deadline = time.Now().Add(after)
	}
	c.hasDeadline = after != 0
	_ = c.SetReadDeadline(deadline) // fails only if the connection is already closed
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

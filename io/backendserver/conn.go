package backendserver

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

// conn is a connection that knows whether the request at hand has been written to, and writes nothing after the
// request's deadline. A connection carries one request at a time.
type conn struct {
	net.Conn
	now      func() time.Time
	written  atomic.Bool
	deadline atomic.Pointer[time.Time]
}

// begin starts a request that must not be sent after the deadline.
func (c *conn) begin(deadline time.Time) {
	c.written.Store(false)
	c.deadline.Store(&deadline)
}

func (c *conn) hasWritten() bool { return c.written.Load() }

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	if at := c.deadline.Load(); at != nil && !c.now().Before(*at) {
		return 0, os.ErrDeadlineExceeded
	}
	c.written.Store(true)
	return c.Conn.Write(p)
}

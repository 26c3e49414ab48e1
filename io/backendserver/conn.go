package backendserver

import (
	"os"
	"sync/atomic"
	"time"

	"redwingsill/core/effect"
	"redwingsill/io/attribute"
	"redwingsill/io/responseconn"
)

// conn records whether a write of the current request was attempted, and refuses to write after the request's deadline.
// A connection carries one request at a time.
type conn struct {
	*responseconn.Conn
	now func() time.Time
	// written is set before the first write, since a write that fails may have sent bytes.
	written  atomic.Bool
	deadline atomic.Pointer[time.Time]
}

// startRequest resets the connection for the next request, of which nothing may be written after the deadline.
func (c *conn) startRequest(run effect.Run) {
	c.written.Store(false)
	c.deadline.Store(&run.Deadline)
	c.StartRequest(run.Request.Attributes[attribute.Method], int64(len(run.Request.Body)))
}

// hasWritten reports whether any byte of the current request may have been written.
func (c *conn) hasWritten() bool { return c.written.Load() }

// Write implements [net.Conn]. After the deadline it writes nothing and returns [os.ErrDeadlineExceeded].
func (c *conn) Write(p []byte) (int, error) {
	if deadline := c.deadline.Load(); deadline != nil && !c.now().Before(*deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	c.written.Store(true)
	return c.Conn.Write(p)
}

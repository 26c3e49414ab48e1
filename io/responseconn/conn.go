// Package responseconn makes the clients of net/http reject what is no response: bytes that package responsesyntax doesn't take for
// valid, and a body that ends with the connection before the request was written. net/http has no hook for either. A wrapper of
// the transport sees only the parsed response, so the check is in a wrapper of the connection, which sees each byte.
package responseconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"redwingsill/core/responsesyntax"
)

// errEndBeforeRequest is the cause of a failed read.
var errEndBeforeRequest = errors.New("the connection ended before the request was written, so that the response may be cut")

// Conn is a connection of a client that carries one request at a time. It fails for good at the first byte that is not part of a
// valid response.
type Conn struct {
	net.Conn
	isHead atomic.Bool
	// syntax and failure belong to the reading goroutine.
	syntax  responsesyntax.Checker
	failure error
	// mu is held by a write, and guards written.
	mu      sync.Mutex
	written written
}

// New returns a connection that checks the responses on c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// StartRequest is to be called before each request is written, with its method and the length of its body. With a negative length
// a response that ends with the connection is never whole.
func (c *Conn) StartRequest(method string, bodyLength int64) {
	c.isHead.Store(method == http.MethodHead)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = written{bodyLength: bodyLength}
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written.add(p[:n])
	return n, err
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.syntax.EndsWithConnection() && !c.hasWrittenRequest() {
		err = errors.Join(io.ErrUnexpectedEOF, errEndBeforeRequest)
	}
	valid, invalid := c.syntax.Add(p[:n], c.isHead.Load())
	if invalid != nil {
		c.failure, err = invalid, nil
		if valid == 0 {
			err = invalid
		}
	}
	return valid, err
}

// hasWrittenRequest reports, after the end of the connection was read, whether the whole request was written. A pending write may
// have got the socket's error in place of the read, so it is interrupted first. If it had taken all bytes, it had no error.
func (c *Conn) hasWrittenRequest() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.isWhole()
}

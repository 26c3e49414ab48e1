package origin

import (
	"bufio"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hashSeed is the seed of the hashes of attempt IDs and marks.
var hashSeed = maphash.MakeSeed()

// conn is a connection to a backend server with a buffered reader. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// bounded is what reader reads from.
	bounded *boundedReader
	// head is the head of the last response to the current request, or nil.
	head *http.Response
	// id is unique among the connections of a client, and requests the number of requests that the connection has carried.
	id       int64
	requests int64
	// address is the dialled address, by which the pool keeps and counts the connection.
	address string
	// failedAttempts holds the hashes of the IDs of the attempts over this connection that may be sent again. Such an
	// attempt must not use the connection again: a late copy of its earlier response would pass for the new one.
	failedAttempts []uint64
	// idleUntil is the time from which an idle connection must not be reused.
	idleUntil time.Time
	closeOnce sync.Once
	// onClose removes the connection from the pool's count of open ones.
	onClose func()
}

func newConn(raw net.Conn, id int64, address string, onClose func()) *conn {
	bounded := &boundedReader{from: raw}
	return &conn{Conn: raw, id: id, reader: bufio.NewReaderSize(bounded, readBufferSize), bounded: bounded, address: address, onClose: onClose}
}

// accepts reports whether the connection may carry the attempt with an ID.
func (c *conn) accepts(attemptID string) bool {
	return !slices.Contains(c.failedAttempts, maphash.String(hashSeed, attemptID))
}

// recordFailure makes the connection refuse the attempt with an ID from now on.
func (c *conn) recordFailure(attemptID string) {
	c.failedAttempts = append(c.failedAttempts, maphash.String(hashSeed, attemptID))
}

// isLateCopy reports whether a response with the given header to r counts as a late copy of an earlier response.
func (c *conn) isLateCopy(r Request, header http.Header) bool {
	return r.RequiresFinalHeader && c.requests > 1 && header.Get(r.FinalHeader) == ""
}

// isReusableAfter reports whether the connection can carry another request after a request and its response.
func (c *conn) isReusableAfter(r Request, response *Response) bool {
	isLast := r.FinalHeader != "" && response.Header.Get(r.FinalHeader) != ""
	if response.closesConnection || isLast || r.isAlone() || c.hasSurplus() || len(c.failedAttempts) > maxFailedAttempts {
		return false
	}
	// A late copy of a response without an attempt ID passes for the response to the next request.
	return r.AttemptID != "" || response.Status == http.StatusOK
}

// hasSurplus reports whether bytes behind the last response were read, or bytes that belong to no response.
func (c *conn) hasSurplus() bool { return c.reader.Buffered() > 0 || c.bounded.failure != nil }

// abort makes pending and later reads and writes fail, by a deadline in the past.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) } // fails only if the connection is already closed

// close closes the connection and calls onClose. Later calls do nothing.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Close() // the connection is no longer used
		c.onClose()
	})
}

// reset closes the connection with a TCP reset, which discards data that has been written but not sent.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	c.close()
}

// isIdle reports whether the peer has neither sent data nor closed the connection since the last response. In that case
// a read from the non-blocking socket returns EAGAIN. A connection without a file descriptor counts as idle.
func (c *conn) isIdle() bool {
	// A read after the deadline of the last request would fail although the connection is idle.
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	isIdle := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		isIdle = err == unix.EAGAIN
		return true
	})
	return err == nil && isIdle
}

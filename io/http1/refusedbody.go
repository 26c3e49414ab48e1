package http1

import (
	"io"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// refusesBody reports whether the response, with a body of the given length, refuses a long body of which nothing was asked for.
// The rest of such a body is not read, since it would only load the host's link.
//
// A caller that does not read its responses before it has sent its requests needs the host to read on. So there must be no earlier
// response that it may not have read, and the response must fit into the socket's buffer.
func (e *exchange) refusesBody(responseLength int) bool {
	return e.status >= http.StatusBadRequest && !e.isAhead && e.body.isUntouched() && responseLength <= maxRefusalBody &&
		(e.request.ContentLength < 0 || e.request.ContentLength > maxDiscardedBody) && e.connection.socket() != nil
}

// leaveBody makes the rest of the body of e remain unread.
func (c *connection) leaveBody(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.leavesBody = true
}

// socket returns the connection's file descriptor, or nil if there is none.
func (c *connection) socket() syscall.RawConn {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil // the connection is closed
	}
	return control
}

// awaitClose waits, without reading, until the caller has closed the connection or lingerTimeout has passed. A connection that
// is closed with unread bytes is reset, which could overtake the response.
//
// At most maxAwaitedCloses connections wait, since each holds what the caller has sent in the socket's buffer.
func (c *connection) awaitClose() {
	socket := c.socket()
	defer c.server.awaitedCloses.Add(-1)
	if c.server.awaitedCloses.Add(1) > maxAwaitedCloses || socket == nil {
		return
	}
	c.mu.Lock()
	c.setReadDeadline(lingerTimeout)
	c.mu.Unlock()
	// The function is called again after each packet. Read fails if the deadline has passed or the connection is closed.
	if err := socket.Read(isClosedByPeer); err == nil {
		_, _ = io.Copy(io.Discard, c.reader) // everything has arrived, and once it is read there is no reset
	}
}

// isClosedByPeer reports whether the peer of a TCP connection has closed its side or reset the connection.
func isClosedByPeer(socket uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(socket), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return true
	}
	switch info.State {
	case unix.BPF_TCP_ESTABLISHED, unix.BPF_TCP_FIN_WAIT1, unix.BPF_TCP_FIN_WAIT2:
		return false
	}
	return true
}

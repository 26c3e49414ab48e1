package origin

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// idleUntil is until when it may be used again.
	idleUntil time.Time
	once      sync.Once
	onClose   func()
}

// abort ends whatever is read or written at present.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) } // a connection that is closed already needs no abort

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.Close() // nothing more is read from it, so how it closes does not matter
		c.onClose()
	})
}

// reset closes the connection so that nothing that was written may still arrive.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	c.close()
}

// isQuiet reports whether the peer has sent nothing and not closed since the last answer.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
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
	isQuiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		isQuiet = err == unix.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

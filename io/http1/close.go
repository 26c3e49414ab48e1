package http1

import (
	"io"
)

// closeIfIdle closes the connection unless a request is in progress or was begun.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && c.isWaiting {
		c.isClosing = true
		c.closeWrite()
		c.interruptRead()
	}
}

// linger reads on until the last response is sent and the caller has closed the connection or lingerTimeout has passed,
// and closes it. A caller that disconnects before has its requests cancelled. The rest of a refused body is not read.
func (c *connection) linger() {
	defer c.abort()
	c.mu.Lock()
	c.isClosing = true
	leavesBody := c.isFinished && c.last.leavesBody
	c.mu.Unlock()
	if leavesBody {
		c.awaitClose()
		return
	}
	for c.ctx.Err() == nil {
		c.mu.Lock()
		isOver := c.pending == 0 && !c.isFinished
		if !c.isFinished {
			c.setReadDeadline(0)
		}
		c.mu.Unlock()
		if isOver {
			return
		}
		if _, err := io.Copy(io.Discard, c.reader); !isTimeout(err) {
			return
		}
		c.mu.Lock()
		isOver = c.isFinished
		c.mu.Unlock()
		if isOver {
			return
		}
	}
}

// abort closes the connection and cancels its requests.
func (c *connection) abort() {
	c.cancel()
	_ = c.Close() // the connection is no longer used
}

func (c *connection) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the connection is already closed
	}
}

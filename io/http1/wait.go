package http1

import (
	"bufio"
	"errors"
	"time"
)

// awaitRequest waits until bytes of a request are there and may be read. It returns false if the connection ends before.
func (c *connection) awaitRequest() bool {
	for {
		mayRead, wait, isOver := c.beginWait()
		if isOver {
			return false
		}
		if mayRead {
			return true
		}
		_, err := c.reader.Peek(wait)
		isTimeout := isTimeout(err)
		c.mu.Lock()
		c.isWaiting = false
		c.mu.Unlock()
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			select {
			case <-c.progress:
			case <-c.ctx.Done():
			}
		case err != nil && !isTimeout:
			c.cancel() // the caller has disconnected
			return false
		}
	}
}

// beginWait reports whether a request may be read now. If not, it sets the read deadline and returns how many bytes the
// buffer must hold until something has changed, or that the connection is over.
func (c *connection) beginWait() (mayRead bool, wait int, isOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleTimeout := c.idleTimeout()
	c.isFull = c.pending > 0 && (c.pending >= maxPipelined || !c.server.mayReadAhead())
	switch {
	case c.isClosing, c.ctx.Err() != nil:
		return false, 0, true
	case !c.isFull && c.reader.Buffered() > 0:
		c.setReadDeadline(0)
		return true, 0, false
	case c.pending == 0 && idleTimeout > 0 && time.Since(c.idleSince) >= idleTimeout:
		c.isClosing = true
		return false, 0, true
	}
	c.isWaiting = true
	if c.pending == 0 && idleTimeout > 0 {
		c.setReadDeadline(idleTimeout - time.Since(c.idleSince))
	} else {
		c.setReadDeadline(0)
	}
	return false, c.reader.Buffered() + 1, false
}

// idleTimeout returns how long the connection may be idle. The time for the head of a request applies to the first one.
func (c *connection) idleTimeout() time.Duration {
	l := c.server.limits()
	if c.last == nil {
		return l.HeaderTimeout
	}
	return l.IdleTimeout
}

// startHeadTimeout bounds the time to read the rest of a request's head.
func (c *connection) startHeadTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(c.server.limits().HeaderTimeout)
}

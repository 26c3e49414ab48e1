package http1

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// body is the body of a request. The next request of the connection is read only once it has ended. A nil body is empty.
type body struct {
	from io.Reader
	// onFirstRead is called before the first read, or nil.
	onFirstRead func()
	// mu guards the fields below and the connection's read deadline.
	mu          sync.Mutex
	isOver      bool
	isAtEOF     bool
	isBegun     bool
	setDeadline func(time.Time) error
	ended       chan struct{}
}

func newBody(from io.Reader, onFirstRead func(), setDeadline func(time.Time) error) *body {
	return &body{from: from, onFirstRead: onFirstRead, setDeadline: setDeadline, ended: make(chan struct{})}
}

// Read implements io.Reader. Only one goroutine may read.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	isOver, isAtEOF := b.isOver, b.isAtEOF
	b.isBegun = b.isBegun || !isOver
	b.mu.Unlock()
	switch {
	case isAtEOF:
		return 0, io.EOF
	case isOver:
		return 0, http.ErrBodyReadAfterClose
	}
	if b.onFirstRead != nil {
		b.onFirstRead()
		b.onFirstRead = nil
	}
	n, err := b.from.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close ends the body. What was not read closes the connection.
func (b *body) Close() error {
	b.end(false)
	return nil
}

// SetReadDeadline sets the deadline of reads of the body. It does nothing once the body has ended.
func (b *body) SetReadDeadline(t time.Time) error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOver {
		return nil
	}
	return b.setDeadline(t)
}

// end ends the body. Later reads fail unless it was read to EOF.
func (b *body) end(isAtEOF bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOver {
		return
	}
	b.isOver, b.isAtEOF = true, isAtEOF
	_ = b.setDeadline(time.Time{}) // fails only if the connection is already closed
	close(b.ended)
}

// awaitEnd waits until the body has ended.
func (b *body) awaitEnd() {
	if b != nil {
		<-b.ended
	}
}

// isUntouched reports whether no byte of the body was asked for.
func (b *body) isUntouched() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isBegun
}

// isRead reports whether the body was read to EOF.
func (b *body) isRead() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isAtEOF
}

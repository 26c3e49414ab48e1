package http1

import (
	"errors"
	"io"

	"redwingsill/io/headlines"
)

// errHeadTooLong is the error of a read beyond the limit of a request's head.
var errHeadTooLong = errors.New("the head of the request is too long")

// boundedReader reads from a connection. While a request's head is read it bounds the bytes.
type boundedReader struct {
	from io.Reader
	// onHeadRead is called before each read of a head.
	onHeadRead func()
	isInHead   bool
	remaining  int
	// lines counts the lines of the head.
	lines headlines.Counter
	// failure is the error of the last read of the head, or nil. The parser may take the bytes before it for a whole line.
	failure error
}

// startHead begins a head, of which some bytes may have been buffered already, and at most limit bytes are read from the
// connection. It may have [headlines.Max] lines.
func (b *boundedReader) startHead(buffered []byte, limit int) {
	b.isInHead, b.remaining, b.lines, b.failure = true, limit, headlines.Counter{}, nil
	if !b.lines.Add(buffered) {
		b.remaining, b.failure = 0, errHeadTooLong
	}
}

// endHead removes the limit, and returns the error of the last read of the head.
func (b *boundedReader) endHead() error {
	b.isInHead = false
	return b.failure
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.isInHead {
		return b.from.Read(p)
	}
	if b.remaining <= 0 {
		b.failure = errHeadTooLong
		return 0, errHeadTooLong
	}
	b.onHeadRead()
	n, err := b.from.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.failure = err
	if !b.lines.Add(p[:n]) {
		b.remaining, b.failure = 0, errHeadTooLong // the parser may ignore the error of one read
		return 0, errHeadTooLong                   // it could take the bytes for the rest of the head
	}
	return n, err
}

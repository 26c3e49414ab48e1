package origin

import (
	"fmt"
	"io"
)

// boundedReader reads at most a number of bytes of a part of a response, such as its head, and then fails.
type boundedReader struct {
	from      io.Reader
	part      string
	bound     int64
	remaining int64
	// isInHead is set until the empty line that ends a head was read. lines counts the head's lines before it, and
	// lineLength the bytes of the current line without its end.
	isInHead          bool
	lines, lineLength int
	// failure is the error of all further reads, or nil.
	failure error
}

// startPart lets the reader read a number of bytes from now on. Bytes of the next part that are buffered already do not
// count.
func (r *boundedReader) startPart(part string, bound int64) {
	r.part, r.bound, r.remaining = part, bound, bound
	r.isInHead = false
}

// startHead starts the part that is the head of a response, of which some bytes may have been buffered already. A head
// may have maxHeadLines lines, since a parsed header field takes many times the bytes of a short line. It fails if the
// buffered part has more.
func (r *boundedReader) startHead(buffered []byte) error {
	r.startPart("head", maxResponseHead)
	r.isInHead, r.lines, r.lineLength = true, 0, 0
	return r.countLines(buffered)
}

// Read implements [io.Reader].
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure // the parser may ignore the error of one read
	}
	if r.remaining <= 0 {
		return 0, fmt.Errorf("the %s of the response has more than %d bytes", r.part, r.bound)
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.failure = r.countLines(p[:n]); r.failure != nil {
		return 0, r.failure // the parser could take the bytes for the rest of a head
	}
	return n, err
}

// countLines counts the lines of a head up to its end, and fails if there are too many.
func (r *boundedReader) countLines(p []byte) error {
	for _, b := range p {
		switch {
		case !r.isInHead:
			return nil
		case b == '\n' && r.lineLength == 0:
			r.isInHead = false
		case b == '\n':
			if r.lines++; r.lines > maxHeadLines {
				return fmt.Errorf("the head of the response has more than %d lines", maxHeadLines)
			}
			r.lineLength = 0
		case b != '\r':
			r.lineLength++
		}
	}
	return nil
}

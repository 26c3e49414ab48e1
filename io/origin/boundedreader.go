package origin

import (
	"fmt"
	"io"

	"redwingsill/core/responsesyntax"
	"redwingsill/io/headlines"
)

// boundedReader reads at most a number of bytes of a part of a response, such as its head, and then fails. It also fails at the
// first byte that is not part of a valid response, before the parser gets it.
type boundedReader struct {
	from      io.Reader
	part      string
	bound     int64
	remaining int64
	isInHead  bool
	// lines counts the lines of the head.
	lines headlines.Counter
	// syntax follows the responses, and isHead is set while the request is a HEAD request.
	syntax responsesyntax.Checker
	isHead bool
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
// may have [headlines.Max] lines; it fails if the buffered part has more.
func (r *boundedReader) startHead(buffered []byte) error {
	r.startPart("head", maxResponseHead)
	r.isInHead, r.lines = true, headlines.Counter{}
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
	valid, invalid := r.syntax.Add(p[:n], r.isHead)
	if r.failure = r.countLines(p[:valid]); r.failure != nil {
		return 0, r.failure // the parser could take the bytes for the rest of a head
	}
	// The valid bytes before an invalid one may be the rest of a response. They never complete the head that has it.
	if r.failure = invalid; invalid != nil && valid == 0 {
		return 0, invalid
	} else if invalid != nil {
		return valid, nil
	}
	return n, err
}

// countLines counts the lines of a head, and fails if there are too many.
func (r *boundedReader) countLines(p []byte) error {
	if r.isInHead && !r.lines.Add(p) {
		return fmt.Errorf("the head of the response has more than %d lines", headlines.Max)
	}
	return nil
}

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
}

// startPart lets the reader read a number of bytes from now on. Bytes of the next part that are buffered already do not
// count.
func (r *boundedReader) startPart(part string, bound int64) {
	r.part, r.bound, r.remaining = part, bound, bound
}

// Read implements [io.Reader].
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, fmt.Errorf("the %s of the response has more than %d bytes", r.part, r.bound)
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

package peer

import (
	"io"
	"sync/atomic"
)

// countingReader adds the number of bytes read to a counter.
type countingReader struct {
	reader io.Reader
	count  *atomic.Int64
}

// Read implements [io.Reader].
func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

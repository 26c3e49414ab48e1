package peer

import (
	"io"
	"sync/atomic"
)

// counter counts the bytes read through it.
type counter struct {
	reader io.Reader
	count  *atomic.Int64
}

// Read implements [io.Reader].
func (c counter) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

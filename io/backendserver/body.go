package backendserver

import "bytes"

// body is a request body that net/http can't rewind, so that its transport never sends a request a second time on its
// own.
type body struct {
	reader *bytes.Reader
}

func newBody(content []byte) *body { return &body{reader: bytes.NewReader(content)} }

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements [io.Closer].
func (b *body) Close() error { return nil }

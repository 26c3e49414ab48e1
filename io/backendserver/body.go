package backendserver

import "bytes"

// body is a request body that net/http cannot rewind. With a body that it can rewind, its transport would retry a
// request by itself after a connection failure.
type body struct {
	reader *bytes.Reader
}

func newBody(content []byte) *body { return &body{reader: bytes.NewReader(content)} }

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements [io.Closer].
func (b *body) Close() error { return nil }

// Package bodybudget reads response bodies of backend servers within a bound of memory.
package bodybudget

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// initialSize is the initial size in bytes of the buffer for a body.
	initialSize = 16 << 10
	// maxUncounted is the size in bytes up to which the buffer of a body is not counted, so that short bodies can be read
	// however many long ones are.
	maxUncounted = 64 << 10
	// maxTotal bounds the buffers of all bodies that are being read, in bytes. It holds a body of 16 MB while its buffer
	// grows for the last time.
	maxTotal = 32 << 20
)

// BodyBudget bounds the memory of all bodies that are being read. The zero value is ready for use, and it is safe for
// concurrent use.
type BodyBudget struct {
	// reserved is the memory in bytes of the buffers that are larger than maxUncounted.
	reserved atomic.Int64
}

// Read reads a body of at most limit bytes to its end. Its length is -1 if the server has not announced it. The buffer
// grows with the bytes that arrive, since a server may announce more than it sends.
func (b *BodyBudget) Read(from io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("the response body has %d bytes, more than %d", length, limit)
	}
	largest := length + 1 // a buffer that is not full leaves room to read the EOF
	if length < 0 {
		largest = limit + 1
	}
	body := make([]byte, 0, min(largest, initialSize))
	reserved := int64(0)
	defer func() { b.reserved.Add(-reserved) }()
	for {
		if len(body) == cap(body) {
			size := 2 * int64(cap(body))
			if size >= largest-1 {
				size = largest // saves a further growth for the last byte
			}
			if size > maxUncounted && b.reserved.Add(size) > maxTotal {
				b.reserved.Add(-size)
				return nil, fmt.Errorf("the response bodies that are being read need more than %d bytes", maxTotal)
			}
			body = append(make([]byte, 0, size), body...)
			b.reserved.Add(-reserved)
			if size > maxUncounted {
				reserved = size
			}
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, fmt.Errorf("the response body has more than %d bytes", limit)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

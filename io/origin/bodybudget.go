package origin

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bodyBudget bounds the memory of all response bodies that are being read.
type bodyBudget struct {
	// reserved is the memory in bytes of the buffers that are larger than maxUncountedBody.
	reserved atomic.Int64
}

// read reads a body to its end. Its length is -1 if the server has not announced it. The buffer grows with the bytes
// that arrive, since a server may announce more than it sends.
func (b *bodyBudget) read(from io.Reader, length int64) ([]byte, error) {
	if length > maxResponseBody {
		return nil, fmt.Errorf("the response body has %d bytes, more than %d", length, maxResponseBody)
	}
	largest := length + 1 // a buffer that is not full leaves room to read the EOF
	if length < 0 {
		largest = maxResponseBody + 1
	}
	body := make([]byte, 0, min(largest, initialBody))
	reserved := int64(0)
	defer func() { b.reserved.Add(-reserved) }()
	for {
		if len(body) > maxResponseBody {
			return nil, fmt.Errorf("the response body has more than %d bytes", maxResponseBody)
		}
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), largest)
			if size > maxUncountedBody && b.reserved.Add(size) > maxTotalBodies {
				b.reserved.Add(-size)
				return nil, fmt.Errorf("the response bodies that are being read need more than %d bytes", maxTotalBodies)
			}
			body = append(make([]byte, 0, size), body...)
			b.reserved.Add(-reserved)
			if size > maxUncountedBody {
				reserved = size
			}
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

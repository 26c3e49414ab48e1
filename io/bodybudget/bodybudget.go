// Package bodybudget reads bodies of requests and responses within a bound of memory.
package bodybudget

import (
	"fmt"
	"io"
	"sync/atomic"

	"redwingsill/core/kind"
)

const (
	// initialSize is the initial size in bytes of the buffer for a body.
	initialSize = 16 << 10
	// defaultUncounted is the size in bytes up to which the buffer of a body is not counted, so that short bodies can be
	// read however many long ones are.
	defaultUncounted = 64 << 10
	// defaultTotal bounds the buffers of all bodies, in bytes. It holds a body of 16 MB while its buffer grows for the
	// last time.
	defaultTotal = 32 << 20
)

// BodyBudget bounds the memory of bodies. The zero value is ready for use, and it is safe for concurrent use.
type BodyBudget struct {
	// total and uncounted take the place of defaultTotal and defaultUncounted if they are not 0.
	total, uncounted int64
	// isFair is set if each body may take at most half of what the others leave.
	isFair bool
	// reserved is the memory in bytes of the buffers that are counted.
	reserved atomic.Int64
}

// New returns a budget of total bytes for all buffers of more than uncounted bytes.
func New(total, uncounted int64) *BodyBudget {
	return &BodyBudget{total: total, uncounted: uncounted}
}

// NewFair returns a budget of total bytes for all buffers of more than uncounted bytes. A buffer may have at most half of
// the bytes that the others leave, so that however many long bodies there are, shorter ones find room.
func NewFair(total, uncounted int64) *BodyBudget {
	return &BodyBudget{total: total, uncounted: uncounted, isFair: true}
}

// Reserved returns the bytes that are in use.
func (b *BodyBudget) Reserved() int64 { return b.reserved.Load() }

// Read reads a body of at most limit bytes to its end. Its length is -1 if the sender has not announced it. The buffer
// grows with the bytes that arrive, since a sender may announce more than it sends. An error that is no [*Error] is that
// of the reader.
func (b *BodyBudget) Read(from io.Reader, length, limit int64) ([]byte, error) {
	body, release, err := b.ReadAndHold(from, length, limit)
	release()
	return body, err
}

// ReadAndHold reads a body as [BodyBudget.Read] does, and counts it until the returned function is called, also after an
// error. It reads nothing of a body whose announced length does not fit into the budget.
func (b *BodyBudget) ReadAndHold(from io.Reader, length, limit int64) ([]byte, func(), error) {
	reserved := int64(0)
	release := func() { b.reserved.Add(-reserved) }
	if length > limit {
		return nil, release, newError(kind.Invalid, fmt.Errorf("the body has %d bytes, more than %d", length, limit))
	}
	total, uncounted := b.bounds()
	if length > uncounted && !b.fits(length, b.reserved.Load(), total) {
		return nil, release, newError(kind.Full, fmt.Errorf("a body of %d bytes beside %d bytes of others exceeds %d", length, b.reserved.Load(), total))
	}
	largest := length + 1 // a buffer that is not full leaves room to read the EOF
	if length < 0 {
		largest = limit + 1
	}
	body := make([]byte, 0, min(largest, initialSize, uncounted))
	for {
		if len(body) == cap(body) {
			size := 2 * int64(cap(body))
			if size >= largest-1 {
				size = largest // saves a further growth for the last byte
			}
			if size > uncounted && !b.reserve(size, reserved, total) {
				return nil, release, newError(kind.Full, fmt.Errorf("the bodies that are being read need more than %d bytes", total))
			}
			body = append(make([]byte, 0, size), body...)
			b.reserved.Add(-reserved)
			if size > uncounted {
				reserved = size
			}
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case length >= 0 && int64(len(body)) > length: // else the buffer would be full and never grow
			return nil, release, newError(kind.Invalid, fmt.Errorf("the body has more than the announced %d bytes", length))
		case int64(len(body)) > limit:
			return nil, release, newError(kind.Invalid, fmt.Errorf("the body has more than %d bytes", limit))
		case err == io.EOF:
			return body, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}

// Hold counts size bytes until the returned function is called, unless they are few enough not to be counted.
func (b *BodyBudget) Hold(size int64) (func(), error) {
	total, uncounted := b.bounds()
	if size <= uncounted {
		return func() {}, nil
	}
	if !b.reserve(size, 0, total) {
		return func() {}, newError(kind.Full, fmt.Errorf("%d bytes beside others exceed %d", size, total))
	}
	return func() { b.reserved.Add(-size) }, nil
}

// reserve counts size bytes more for a body that has own bytes already, and reports whether they fit.
func (b *BodyBudget) reserve(size, own, total int64) bool {
	others := b.reserved.Add(size) - size - own
	if others+own+size <= total && b.fits(size, others, total) {
		return true
	}
	b.reserved.Add(-size)
	return false
}

// fits reports whether a buffer of size bytes fits beside those of other bodies.
func (b *BodyBudget) fits(size, others, total int64) bool {
	if b.isFair {
		size *= 2
	}
	return others+size <= total
}

// bounds returns the bound of all buffers and the size up to which a buffer is not counted.
func (b *BodyBudget) bounds() (total, uncounted int64) {
	total, uncounted = b.total, b.uncounted
	if total == 0 {
		total = defaultTotal
	}
	if uncounted == 0 {
		uncounted = defaultUncounted
	}
	return total, uncounted
}

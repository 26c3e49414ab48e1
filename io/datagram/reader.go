package datagram

import "encoding/binary"

// reader decodes the values of a datagram in order. Once a value is missing or malformed, it and all later values are
// returned as zero and isMalformed is set.
type reader struct {
	rest        []byte
	isMalformed bool
}

func (r *reader) nextByte() byte {
	if len(r.rest) == 0 {
		r.isMalformed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reader) nextUvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	return advance(r, v, n)
}

func (r *reader) nextVarint() int64 {
	v, n := binary.Varint(r.rest)
	return advance(r, v, n)
}

func (r *reader) nextString() string {
	length := r.nextUvarint()
	if length > uint64(len(r.rest)) {
		r.isMalformed = true
		r.rest = nil
		return ""
	}
	s := string(r.rest[:length])
	r.rest = r.rest[length:]
	return s
}

// advance consumes the n bytes of v and returns v. If n is not positive, the value was missing or malformed.
func advance[T uint64 | int64](r *reader, v T, n int) T {
	if n <= 0 {
		r.isMalformed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

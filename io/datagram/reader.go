package datagram

import "encoding/binary"

// reader takes values from a datagram. After the first one that is missing all are zero.
type reader struct {
	bytes   []byte
	isShort bool
}

func (r *reader) code() byte {
	if len(r.bytes) == 0 {
		r.isShort = true
		return 0
	}
	c := r.bytes[0]
	r.bytes = r.bytes[1:]
	return c
}

func (r *reader) unsigned() uint64 {
	v, n := binary.Uvarint(r.bytes)
	return take(r, v, n)
}

func (r *reader) signed() int64 {
	v, n := binary.Varint(r.bytes)
	return take(r, v, n)
}

func (r *reader) text() string {
	n := r.unsigned()
	if n > uint64(len(r.bytes)) {
		r.isShort = true
		r.bytes = nil
		return ""
	}
	s := string(r.bytes[:n])
	r.bytes = r.bytes[n:]
	return s
}

func take[T uint64 | int64](r *reader, v T, n int) T {
	if n <= 0 {
		r.isShort = true
		r.bytes = nil
		return 0
	}
	r.bytes = r.bytes[n:]
	return v
}

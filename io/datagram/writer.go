package datagram

import "encoding/binary"

// writer encodes the values of a datagram.
type writer struct{ buffer []byte }

func (w *writer) putByte(b byte)      { w.buffer = append(w.buffer, b) }
func (w *writer) putUvarint(v uint64) { w.buffer = binary.AppendUvarint(w.buffer, v) }
func (w *writer) putVarint(v int64)   { w.buffer = binary.AppendVarint(w.buffer, v) }

func (w *writer) putString(s string) {
	w.putUvarint(uint64(len(s)))
	w.buffer = append(w.buffer, s...)
}

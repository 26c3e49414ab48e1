package datagram

import "encoding/binary"

// writer appends values to a datagram.
type writer struct{ bytes []byte }

func (w *writer) code(c byte)       { w.bytes = append(w.bytes, c) }
func (w *writer) unsigned(v uint64) { w.bytes = binary.AppendUvarint(w.bytes, v) }
func (w *writer) signed(v int64)    { w.bytes = binary.AppendVarint(w.bytes, v) }

func (w *writer) text(s string) {
	w.unsigned(uint64(len(s)))
	w.bytes = append(w.bytes, s...)
}

package simulation

import (
	"bytes"
	"compress/flate"
)

// wire is a connection whose messages are compressed with what went before, as the peers' connections are.
type wire struct {
	buffer bytes.Buffer
	writer *flate.Writer
}

func newWire() *wire {
	w := &wire{}
	writer, err := flate.NewWriter(&w.buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	w.writer = writer
	return w
}

// size returns the bytes that a text takes.
func (w *wire) size(text []byte) int {
	w.buffer.Reset()
	_, _ = w.writer.Write(text)
	_ = w.writer.Flush()
	return w.buffer.Len() + frameLength
}

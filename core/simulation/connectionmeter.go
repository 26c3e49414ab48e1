package simulation

import (
	"bytes"
	"compress/flate"
)

// connectionMeter estimates the size of messages on one connection. As on connections between peers, all messages share one
// compression stream, so that each is compressed against the earlier ones.
type connectionMeter struct {
	buffer bytes.Buffer
	writer *flate.Writer
}

func newConnectionMeter() *connectionMeter {
	m := &connectionMeter{}
	writer, err := flate.NewWriter(&m.buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	m.writer = writer
	return m
}

// size returns the number of bytes that a message takes on the connection. The frame header is counted at its full size,
// although connections between peers compress it too.
func (m *connectionMeter) size(text []byte) int {
	m.buffer.Reset()
	_, _ = m.writer.Write(text)
	_ = m.writer.Flush()
	return m.buffer.Len() + frameHeaderBytes
}

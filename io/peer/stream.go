package peer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// The bounds of one message between hosts.
const (
	maxMessage   = 16 << 20 // bytes
	writeTimeout = 2 * time.Second
	headerLength = 4 // bytes, the length of the message in network order
)

// stream carries jsonrpc2 objects, each with its length before it. It implements [jsonrpc2.ObjectStream].
type stream struct {
	conn     net.Conn
	received *atomic.Int64
	sent     *atomic.Int64
	buffer   []byte
}

// WriteObject implements [jsonrpc2.ObjectStream].
func (s *stream) WriteObject(object any) error {
	text, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(text) > maxMessage {
		return fmt.Errorf("a message of %d bytes is over the limit of %d", len(text), maxMessage)
	}
	s.buffer = binary.BigEndian.AppendUint32(s.buffer[:0], uint32(len(text)))
	s.buffer = append(s.buffer, text...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buffer)
	s.sent.Add(int64(n))
	return err
}

// ReadObject implements [jsonrpc2.ObjectStream].
func (s *stream) ReadObject(into any) error {
	text, err := readFrame(s.conn, maxMessage)
	if err != nil {
		return err
	}
	s.received.Add(int64(headerLength + len(text)))
	return json.Unmarshal(text, into)
}

// Close implements [jsonrpc2.ObjectStream].
func (s *stream) Close() error { return s.conn.Close() }

// readFrame reads one message of at most limit bytes.
func readFrame(r io.Reader, limit uint32) ([]byte, error) {
	var header [headerLength]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return nil, fmt.Errorf("a message of %d bytes is over the limit of %d", length, limit)
	}
	text := make([]byte, length)
	_, err := io.ReadFull(r, text)
	return text, err
}

func writeFrame(w io.Writer, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	_, err = w.Write(append(frame, text...))
	return err
}

package peer

import (
	"bytes"
	"compress/flate"
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

// stream carries jsonrpc2 objects, each with its length before it. It implements [jsonrpc2.ObjectStream]. Where it
// compresses, each message is compressed with what went before.
type stream struct {
	conn     net.Conn
	reader   io.Reader
	deflater *flate.Writer
	buffer   bytes.Buffer
	received *atomic.Int64
	sent     *atomic.Int64
}

// newStream returns a stream over a connection that compresses what it sends or what it receives.
func newStream(conn net.Conn, deflates, inflates bool, sent, received *atomic.Int64) (*stream, error) {
	s := &stream{conn: conn, sent: sent, received: received}
	s.reader = counter{reader: conn, count: received}
	if inflates {
		s.reader = flate.NewReader(s.reader)
	}
	if deflates {
		var err error
		if s.deflater, err = flate.NewWriter(&s.buffer, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	return s, nil
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
	s.buffer.Reset()
	if err := s.fill(text); err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buffer.Bytes())
	s.sent.Add(int64(n))
	return err
}

// fill puts the wire form of a message into the buffer.
func (s *stream) fill(text []byte) error {
	var header [headerLength]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(text)))
	if s.deflater == nil {
		s.buffer.Write(header[:])
		s.buffer.Write(text)
		return nil
	}
	if _, err := s.deflater.Write(header[:]); err != nil {
		return err
	}
	if _, err := s.deflater.Write(text); err != nil {
		return err
	}
	return s.deflater.Flush()
}

// ReadObject implements [jsonrpc2.ObjectStream].
func (s *stream) ReadObject(into any) error {
	text, err := readFrame(s.reader, maxMessage)
	if err != nil {
		return err
	}
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

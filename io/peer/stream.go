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

// Limits and format of a frame, which is one message between hosts.
const (
	maxMessageBytes = 16 << 20 // before compression
	writeTimeout    = 2 * time.Second
	headerBytes     = 4 // length of the message, big-endian
)

// stream sends and receives jsonrpc2 objects as length-prefixed JSON. It implements [jsonrpc2.ObjectStream]. If
// compressed, all frames of one direction form a single DEFLATE stream, which is flushed after each frame.
type stream struct {
	conn   net.Conn
	reader io.Reader
	// compressor writes to buffer. It is nil if the sent frames are not compressed.
	compressor *flate.Writer
	// buffer holds the frame that is being sent.
	buffer bytes.Buffer
	// received and sent count the bytes transferred, after compression.
	received *atomic.Int64
	sent     *atomic.Int64
}

// newStream returns a stream over a connection. It compresses what it sends if compresses is set, and decompresses what
// it receives if decompresses is set.
func newStream(conn net.Conn, compresses, decompresses bool, sent, received *atomic.Int64) (*stream, error) {
	s := &stream{conn: conn, sent: sent, received: received}
	s.reader = countingReader{reader: conn, count: received}
	if decompresses {
		s.reader = flate.NewReader(s.reader)
	}
	if compresses {
		var err error
		if s.compressor, err = flate.NewWriter(&s.buffer, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// WriteObject implements [jsonrpc2.ObjectStream].
func (s *stream) WriteObject(object any) error {
	message, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(message) > maxMessageBytes {
		return fmt.Errorf("a message of %d bytes is over the limit of %d", len(message), maxMessageBytes)
	}
	s.buffer.Reset()
	if err := s.encodeFrame(message); err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buffer.Bytes())
	s.sent.Add(int64(n))
	return err
}

// encodeFrame appends the frame of a message to the buffer, compressed if the stream is.
func (s *stream) encodeFrame(message []byte) error {
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(message)))
	if s.compressor == nil {
		s.buffer.Write(header[:])
		s.buffer.Write(message)
		return nil
	}
	if _, err := s.compressor.Write(header[:]); err != nil {
		return err
	}
	if _, err := s.compressor.Write(message); err != nil {
		return err
	}
	return s.compressor.Flush()
}

// ReadObject implements [jsonrpc2.ObjectStream].
func (s *stream) ReadObject(object any) error {
	message, err := readFrame(s.reader, maxMessageBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(message, object)
}

// Close implements [jsonrpc2.ObjectStream].
func (s *stream) Close() error { return s.conn.Close() }

// readFrame reads the message of one frame. It returns an error if the message has more than limit bytes.
func readFrame(r io.Reader, limit uint32) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return nil, fmt.Errorf("a message of %d bytes is over the limit of %d", length, limit)
	}
	message := make([]byte, length)
	_, err := io.ReadFull(r, message)
	return message, err
}

// writeFrame writes a value as one uncompressed frame.
func writeFrame(w io.Writer, value any) error {
	message, err := json.Marshal(value)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	_, err = w.Write(append(frame, message...))
	return err
}

// Package rawserver is a server that sends given bytes in place of a response, for tests of everything that reads responses.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// cutDelay is the time between the start of a response and the reset that cuts it, so that the client reads the start.
const cutDelay = 2 * time.Millisecond

// RawServer answers each request with the same bytes and then closes the connection.
type RawServer struct {
	listener net.Listener
	response atomic.Pointer[string]
	isCut    atomic.Bool
}

// New starts a server and returns it with a function that stops it.
func New() (*RawServer, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &RawServer{listener: listener}
	s.SetResponse("")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.accept()
	}()
	stop := func() {
		_ = listener.Close() // ends accept
		<-ended
	}
	return s, stop, nil
}

// Address returns the host and port at which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// SetResponse sets the bytes that are sent after each whole request from now on.
func (s *RawServer) SetResponse(text string) {
	s.response.Store(&text)
	s.isCut.Store(false)
}

// SetCutResponse sets the bytes that are sent before a request is read from now on, after which the connection is reset.
func (s *RawServer) SetCutResponse(text string) {
	s.response.Store(&text)
	s.isCut.Store(true)
}

func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *RawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if s.isCut.Load() {
		_, _ = c.Read(make([]byte, 1)) // an idle connection would be reset before the request
		_, _ = io.WriteString(c, *s.response.Load())
		time.Sleep(cutDelay)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = io.WriteString(c, *s.response.Load())
}

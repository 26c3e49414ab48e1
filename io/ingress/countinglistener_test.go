package ingress_test

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes that are read from the connections that it accepts.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), l.read}, nil
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

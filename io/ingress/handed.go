package ingress

import (
	"net"
	"sync"
)

// handed is a listener whose connections another one accepted.
type handed struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (h *handed) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The listener behind it stays open.
func (h *handed) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

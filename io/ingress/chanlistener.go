package ingress

import (
	"net"
	"sync"
)

// chanListener is a listener whose connections arrive on a channel. The reloadingServer accepts them from the embedded
// listener, which several chanListeners share. The chanListener itself uses only its address.
type chanListener struct {
	net.Listener
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The embedded listener stays open.
func (l *chanListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

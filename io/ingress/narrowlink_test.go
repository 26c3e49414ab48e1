package ingress_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// narrowLink is a link that carries bytesPerSecond, in both directions of all its connections together, first come first served.
type narrowLink struct {
	bytesPerSecond float64
	mu             sync.Mutex
	freeAt         time.Time
	carried        atomic.Int64
}

// cross waits until n bytes have crossed the link.
func (l *narrowLink) cross(n int) {
	l.carried.Add(int64(n))
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	at := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// listen returns a listener whose connections lead over the link to an address.
func (l *narrowLink) listen(t *testing.T, address string) net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp4", address)
			if err != nil {
				_ = near.Close()
				continue
			}
			go l.pump(far, near)
			go l.pump(near, far)
		}
	}()
	return listener
}

// pump copies from one connection to another until either ends, and passes on a half-close or a reset. Senders have a window of
// 10 packets, which lie on the link together.
func (l *narrowLink) pump(to, from net.Conn) {
	const window, buffer = 10 * 1400, 4 << 10
	_ = to.(*net.TCPConn).SetWriteBuffer(buffer)
	b := make([]byte, window)
	for {
		n, err := from.Read(b)
		if n > 0 {
			l.cross(n)
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.(*net.TCPConn).SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

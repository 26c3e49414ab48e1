package http1_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// refuse refuses each request without reading its body.
var refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	write(w, "no")
})

// The rest of a refused body must not cross the link: a host that reads on for half a second pulls in megabytes that it discards.
// What the caller can send is then bounded by the buffers of both sockets.
func TestRestOfARefusedBodyIsNotRead(t *testing.T) {
	_, address := start(t, refuse, testLimits)
	const size = 64 << 20
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", size),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)} {
		c := dial(t, address)
		if err := c.Conn.(*net.TCPConn).SetWriteBuffer(16 << 10); err != nil {
			t.Fatal(err)
		}
		c.send("POST / HTTP/1.1\r\nHost: a\r\n" + head)
		sent := make(chan int, 1)
		go func() {
			n, _ := io.WriteString(c, strings.Repeat("x", size))
			sent <- n
		}()
		if response, _ := c.receive("POST"); response.StatusCode != 503 || !response.Close {
			t.Errorf("%s: status %d, closes %v", name, response.StatusCode, response.Close)
		}
		c.expectEnd()
		if n := <-sent; n > 8<<20 {
			t.Errorf("%s: %d bytes of the body were sent", name, n)
		}
	}
}

// Callers that close, half-close or reset after the refusal must free the connection at once, not after the whole wait.
func TestRefusedCallerThatLeavesFreesItsConnection(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{"close": (*net.TCPConn).Close, "half close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }} {
		s, address := start(t, refuse, testLimits)
		c := dial(t, address)
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 20000))
		c.receive("POST")
		if err := leave(c.Conn.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		s.Shutdown(t.Context())
		if took := time.Since(began); took > 250*time.Millisecond {
			t.Errorf("%s: the connection was open for %v", name, took)
		}
	}
}

// Callers that neither read nor leave must not keep goroutines and sockets of the host, however many come.
func TestRefusedCallersThatStayAreClosed(t *testing.T) {
	s, address := start(t, refuse, testLimits)
	before := runtime.NumGoroutine()
	var callers sync.WaitGroup
	for range 200 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6000000\r\n\r\n"+strings.Repeat("x", 20000))
			time.Sleep(1500 * time.Millisecond)
		}()
	}
	time.Sleep(250 * time.Millisecond)
	if waiting := runtime.NumGoroutine() - before - 200; waiting > 100 {
		t.Errorf("%d goroutines wait for callers", waiting)
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	s.Shutdown(t.Context())
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("connections were open for a further %v", took)
	}
	callers.Wait()
}

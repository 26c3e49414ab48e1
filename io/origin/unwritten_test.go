package origin

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/io/headers"
)

// resetConn is a connection that the server has reset after the given number of written bytes.
type resetConn struct {
	net.Conn
	accepts int
}

func (c *resetConn) Write(p []byte) (int, error) {
	n := min(c.accepts, len(p))
	if n < len(p) {
		return n, syscall.ECONNRESET
	}
	return n, nil
}

func (c *resetConn) Read([]byte) (int, error)    { return 0, syscall.ECONNRESET }
func (c *resetConn) SetDeadline(time.Time) error { return nil }
func (c *resetConn) Close() error                { return nil }

// A server resets connections beyond its limit, and closes idle ones at any time. A request of which no byte was written can't have
// run, so that it may be sent to another server even if it must not run twice. After the first byte it may have run.
func TestRequestOfWhichNothingWasWrittenHasNotRun(t *testing.T) {
	for accepts, want := range map[int]attemptresult.Status{0: attemptresult.Unreachable, 1: attemptresult.Failed, 1 << 20: attemptresult.Failed} {
		client, closeClient := New(headers.Names{AttemptID: "X-Attempt"}, time.Now)
		defer closeClient()
		to := instance.Instance{ID: "i-1", Address: "127.0.0.1:1"}
		client.conns.put(newConn(&resetConn{accepts: accepts}, 1, to.Address, func() {}), time.Minute)
		_, result, err := client.Send(context.Background(), to, Request{Method: http.MethodPost, Target: "/", Host: "a.example", AttemptID: "one",
			Deadline: time.Now().Add(time.Second)}, 4)
		if err == nil || result.Status != want {
			t.Errorf("after %d bytes: %v, error %v, want %v", accepts, result.Status, err, want)
		}
	}
}

package origin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/io/bodybudget"
	"redwingsill/io/headers"
)

// A response counts until it is released, and one that fails does not.
func TestUnreleasedResponsesTakeOfTheBudget(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nX-Attempt: one\r\nX-Long: "
	whole := head + strings.Repeat("a", 8<<10) + "\r\nContent-Length: 10000\r\n\r\n" + strings.Repeat("a", 10000)
	for _, c := range []struct {
		name, response string
		isWhole        bool
	}{
		{"whole", whole, true},
		{"broken off", whole[:len(whole)-1], false},
		{"too long", head + "\r\nContent-Length: 10001\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
			}()
			bodies := bodybudget.NewFair(1<<20, 4<<10)
			client, closeClient := NewWithin(bodies, headers.Names{AttemptID: "X-Attempt", ExpectInstance: "X-Expect", Deadline: "X-Deadline"}, time.Now)
			defer closeClient()
			response, _, err := client.Send(context.Background(), instance.Instance{ID: "i-1", Address: listener.Addr().String()},
				Request{Method: http.MethodGet, Target: "/", Host: "a.example", AttemptID: "one", MaxResponseBody: 10000, Deadline: time.Now().Add(time.Second)}, 4)
			if (err == nil) != c.isWhole {
				t.Fatal(err)
			}
			if held := bodies.Reserved(); c.isWhole && held < 18000 || !c.isWhole && held != 0 {
				t.Errorf("%d bytes are in use before the release", held)
			}
			response.Release()
			if held := bodies.Reserved(); held != 0 {
				t.Errorf("%d bytes are in use after the release", held)
			}
		})
	}
}

package origin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/io/headers"
	"redwingsill/io/headlines"
)

// sendTo sends a request to a server that writes a response in blocks, and returns the client's response and error.
func sendTo(t *testing.T, blocks ...string) (*Response, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, block := range blocks {
			if _, err := c.Write([]byte(block)); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = c.Read(make([]byte, 1)) // until the client has read the response
	}()
	client, closeClient := New(headers.Names{AttemptID: "X-Attempt", ExpectInstance: "X-Expect", Deadline: "X-Deadline"}, time.Now)
	defer closeClient()
	response, _, err := client.Send(context.Background(), instance.Instance{ID: "i-1", Address: listener.Addr().String()},
		Request{Method: http.MethodGet, Target: "/", Host: "a.example", AttemptID: "one", Deadline: time.Now().Add(2 * time.Second)}, 4)
	return response, err
}

// fields returns n short header fields.
func fields(n int) string {
	var text strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&text, "f%d:\r\n", i)
	}
	return text.String()
}

func TestHeadOfTooManyFieldsIsNoResponse(t *testing.T) {
	const start, end = "HTTP/1.1 200 X\r\nX-Attempt: one\r\n", "Content-Length: 2000\r\n\r\n"
	const interim = "HTTP/1.1 103 X\r\nA: b\r\n\r\n"
	body := strings.Repeat("\n", 2000) // lines of the body are none of the head
	for _, c := range []struct {
		name   string
		blocks []string
		isRead bool
	}{
		{"as many as allowed", []string{start + fields(headlines.Max-3) + end + body}, true},
		{"one more", []string{start + fields(headlines.Max-2) + end + body}, false},
		{"one more in small parts", []string{start, fields(headlines.Max - 2), end, body}, false},
		{"as many as allowed behind interim responses", []string{interim + interim + start + fields(headlines.Max-3) + end + body}, true},
		{"one more behind an interim response", []string{interim + start + fields(headlines.Max-2) + end + body}, false},
		{"one more where a part begins", []string{start + fields(150), fields(120)}, false},
		{"an interim response of too many", []string{"HTTP/1.1 103 X\r\n" + fields(headlines.Max) + "\r\n" + start + end + body}, false},
		{"a line that ends between two parts", []string{interim + start + "A: b\r", "\n" + fields(headlines.Max-4) + end + body}, true},
		{"a head that ends between two parts", []string{interim + start + "Content-Length: 2000\r\n", "\r\n" + body}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Now()
			response, err := sendTo(t, c.blocks...)
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %v of 2s", took)
			}
			if isRead := err == nil && string(response.Body) == body; isRead != c.isRead {
				t.Errorf("the response was read: %v, want %v; error %v", isRead, c.isRead, err)
			}
		})
	}
}

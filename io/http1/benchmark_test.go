package http1_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkServer compares the server with net/http's, with one request at a time on a connection and with pipelines.
func BenchmarkServer(b *testing.B) {
	body := []byte(strings.Repeat("x", 1000))
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Date"] = nil
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(body)
	})
	startNetHTTP := func(b *testing.B) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: testLimits.HeaderTimeout, IdleTimeout: testLimits.IdleTimeout}
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() { _ = server.Shutdown(context.Background()) })
		return listener.Addr().String()
	}
	for _, depth := range []int{1, 8} {
		for name, serve := range map[string]func(*testing.B) string{"http1": func(b *testing.B) string {
			_, address := start(b, handler, testLimits)
			return address
		}, "nethttp": startNetHTTP} {
			b.Run(fmt.Sprintf("%s/%d", name, depth), func(b *testing.B) {
				address := serve(b)
				b.ReportAllocs()
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					c := dial(b, address)
					text := strings.Repeat("GET /a/b HTTP/1.1\r\nHost: a.example\r\nX-Id: 0123456789\r\n\r\n", depth)
					answer := make([]byte, 0)
					for pb.Next() {
						c.send(text)
						for range depth {
							if len(answer) == 0 { // all responses have the same length
								response, _ := http.ReadResponse(c.reader, nil)
								n, _ := io.Copy(io.Discard, response.Body)
								head := "HTTP/1.1 200 OK\r\n\r\n"
								for name, values := range response.Header {
									head += name + ": " + values[0] + "\r\n"
								}
								answer = make([]byte, len(head)+int(n))
								continue
							}
							if _, err := io.ReadFull(c.reader, answer); err != nil {
								b.Error(err)
								return
							}
						}
					}
				})
			})
		}
	}
}

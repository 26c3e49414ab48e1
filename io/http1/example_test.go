package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"

	"redwingsill/core/limits"
	"redwingsill/io/http1"
)

// The second request is served while the first is at work, and answered after it.
func ExampleServer() {
	secondIsServed := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(secondIsServed)
		} else {
			<-secondIsServed
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := http1.New(handler, func() limits.Limits { return limits.Limits{} }, slog.New(slog.DiscardHandler))
	_, stop := server.Serve(context.Background(), listener)
	defer stop()

	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		panic(err)
	}
	defer func() { _ = caller.Close() }()
	_, _ = io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			panic(err)
		}
		body, _ := io.ReadAll(response.Body)
		fmt.Println(string(body))
	}
	// Output:
	// /first
	// /second
}

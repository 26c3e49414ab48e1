package origin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/io/origin"
)

// Requests that go over the connection that they ask for, though another one was used last.
func TestRequestGoesOverTheIdleConnectionThatItAsksFor(t *testing.T) {
	var together sync.WaitGroup
	together.Add(2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	client, closeClient := origin.New(names, time.Now)
	t.Cleanup(closeClient)
	to := instance.Instance{ID: "i-1", Address: server.Listener.Addr().String()}
	send := func(path string, connection int64) *origin.Response {
		response, _, err := client.Send(context.Background(), to, origin.Request{Method: http.MethodPost, Target: path, Host: to.Address,
			Deadline: time.Now().Add(5 * time.Second), Connection: connection}, 4)
		if err != nil {
			t.Error(err)
			return &origin.Response{}
		}
		return response
	}
	var opened [2]int64
	var both sync.WaitGroup
	for i := range opened {
		both.Go(func() { opened[i] = send("/together", 0).Connection })
	}
	both.Wait()
	for round := range int64(2) {
		for _, id := range opened {
			if got := send("/", id); got.Connection != id || got.Ordinal != 2+round {
				t.Errorf("request %d went over connection %d as number %d, want %d and %d", round, got.Connection, got.Ordinal, id, 2+round)
			}
		}
	}
	if got := send("/", 99).Connection; got != opened[0] && got != opened[1] {
		t.Errorf("a request for a connection that is gone went over %d, want one of %v", got, opened)
	}
}

// markedServer sends the given texts on its first connection, one for each request, and then nothing.
func markedServer(t *testing.T, texts ...string) instance.Instance {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		b := make([]byte, 4096)
		for _, text := range texts {
			if _, err := c.Read(b); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
		_, _ = io.Copy(io.Discard, c)
	}()
	return instance.Instance{ID: "i-1", Address: listener.Addr().String()}
}

const (
	unmarked = "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n0"
	marked   = "HTTP/1.1 200 X\r\nX-Final: a\r\nContent-Length: 1\r\n\r\n1"
)

func TestResponseWithoutTheMarkIsSkippedOnAUsedConnection(t *testing.T) {
	for _, c := range []struct {
		name, second string
		wantBody     string
	}{
		{"before the response", unmarked + marked, "1"},
		{"and no response", unmarked, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := markedServer(t, unmarked, c.second)
			client, closeClient := origin.New(names, time.Now)
			defer closeClient()
			send := func() (*origin.Response, error) {
				response, _, err := client.Send(context.Background(), to, origin.Request{Method: http.MethodPost, Target: "/", Host: to.Address,
					Deadline: time.Now().Add(5 * time.Second), RequiresFinalHeader: true, FinalHeader: "X-Final"}, 1)
				return response, err
			}
			if first, err := send(); err != nil || string(first.Body) != "0" {
				t.Fatalf("the first response is %v with error %v", first, err)
			}
			began := time.Now()
			second, err := send()
			switch {
			case c.wantBody == "" && err == nil:
				t.Errorf("the copy passed for the response: %+v", second)
			case c.wantBody == "" && time.Since(began) > 2*time.Second:
				t.Errorf("the request failed after %v, want well before its deadline in 5s", time.Since(began))
			case c.wantBody != "" && (err != nil || string(second.Body) != c.wantBody || second.Connection != 0):
				t.Errorf("the second response is %+v with error %v, want the body %q and no connection", second, err, c.wantBody)
			}
		})
	}
}

// A late copy of the last response would come where the next one is due.
func TestConnectionEndsWithTheResponseThatHasTheMark(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Final", "a") }))
	t.Cleanup(server.Close)
	client, closeClient := origin.New(names, time.Now)
	t.Cleanup(closeClient)
	to := instance.Instance{ID: "i-1", Address: server.Listener.Addr().String()}
	for want := range int64(3) {
		response, _, err := client.Send(context.Background(), to, origin.Request{Method: http.MethodPost, Target: "/", Host: to.Address,
			Deadline: time.Now().Add(5 * time.Second), FinalHeader: "X-Final"}, 1)
		if err != nil || response.Connection != want+1 || response.Ordinal != 1 {
			t.Errorf("response %d is %+v with error %v, want one over a connection of its own", want, response, err)
		}
	}
}

package responseconn_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"redwingsill/io/responseconn"
	"redwingsill/io/standin/rawserver"
)

const timeout = 5 * time.Second

func newServer(t testing.TB) *rawserver.RawServer {
	server, stop, err := rawserver.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return server
}

func newClient(t testing.TB) *http.Client {
	client := &http.Client{Transport: responseconn.Transport(&http.Transport{}), Timeout: timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func readAll(response *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// A parser that takes a faulty text for a response gives the reader another body than the server sent, or a cut one.
func TestFaultyTextIsNoResponse(t *testing.T) {
	server, client := newServer(t), newClient(t)
	for fault, text := range rawserver.Faults("body", "") {
		server.SetResponse(text)
		if body, err := readAll(client.Get("http://" + server.Address())); err == nil {
			t.Errorf("%s: got the body %q", fault, body)
		}
	}
}

// The pending write may consume the error of a reset, so that the read sees an end of file.
func TestBodyWithoutLengthIsCutByAResetDuringTheWrite(t *testing.T) {
	server, client := newServer(t), newClient(t)
	server.SetCutResponse("HTTP/1.1 200 OK\r\n\r\nhalf")
	passed := 0
	const rounds = 100
	for range rounds {
		if _, err := readAll(client.Post("http://"+server.Address(), "", bytes.NewReader(make([]byte, 8<<20)))); err == nil {
			passed++
		}
	}
	if passed > 0 {
		t.Errorf("%d of %d cut bodies passed for whole", passed, rounds)
	}
}

func TestBodyWithoutLengthIsWholeAfterTheRequest(t *testing.T) {
	server, client := newServer(t), newClient(t)
	server.SetResponse("HTTP/1.1 200 OK\r\n\r\nwhole")
	for _, size := range []int{0, 1, 5000, 8 << 20} {
		if body, err := readAll(client.Post("http://"+server.Address(), "", bytes.NewReader(make([]byte, size)))); err != nil || body != "whole" {
			t.Errorf("behind a request of %d bytes: got %q with error %v", size, body, err)
		}
	}
	body, err := readAll(client.Get("http://" + server.Address()))
	if err != nil || body != "whole" {
		t.Errorf("to GET: got %q with error %v", body, err)
	}
}

// A request whose length the connection doesn't know can't be known to be whole.
func TestBodyWithoutLengthIsCutBehindARequestOfUnknownLength(t *testing.T) {
	server, client := newServer(t), newClient(t)
	server.SetResponse("HTTP/1.1 200 OK\r\n\r\nwhole")
	if body, err := readAll(client.Post("http://"+server.Address(), "", io.MultiReader(strings.NewReader("abc")))); err == nil {
		t.Errorf("got %q", body)
	}
}

// Connections are reused across methods, and a response to HEAD has a length but no body.
func TestSoundResponsesShareAConnection(t *testing.T) {
	dials := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	t.Cleanup(server.Close)
	client := &http.Client{Timeout: timeout, Transport: responseconn.Transport(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})}
	t.Cleanup(client.CloseIdleConnections)
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodHead, http.MethodPut} {
		r, err := http.NewRequest(method, server.URL, strings.NewReader("text"))
		if err != nil {
			t.Fatal(err)
		}
		if method == http.MethodHead {
			r.Body, r.ContentLength = nil, 0
		}
		if body, err := readAll(client.Do(r)); err != nil || method != http.MethodHead && body != "text" {
			t.Errorf("%s: got %q with error %v", method, body, err)
		}
	}
	if dials != 1 {
		t.Errorf("%d connections, want 1", dials)
	}
}

func TestResponsesAreCheckedBehindTLS(t *testing.T) {
	const faulty = "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nbody"
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faulty" {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(c, faulty)
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(w, "body")
	}))
	t.Cleanup(server.Close)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := &http.Client{Timeout: timeout, Transport: responseconn.Transport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}})}
	t.Cleanup(client.CloseIdleConnections)
	if body, err := readAll(client.Get(server.URL)); err != nil || body != "body" {
		t.Errorf("got %q with error %v", body, err)
	}
	if body, err := readAll(client.Get(server.URL + "/faulty")); err == nil {
		t.Errorf("got %q from a faulty response", body)
	}
}

// FuzzTransport checks that what passes for a response has a valid head.
func FuzzTransport(f *testing.F) {
	server, client := newServer(f), newClient(f)
	for _, text := range rawserver.Faults("body", "") {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 103 A\r\nLink: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, text []byte) {
		server.SetResponse(string(text))
		if _, err := readAll(client.Get("http://" + server.Address())); err == nil && !rawserver.HasValidHead(text) {
			t.Errorf("%q passes for a response", text)
		}
	})
}

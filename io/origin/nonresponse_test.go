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

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/io/headers"
)

// serveOnce starts a server that handles one connection at a time, and closes each connection after it.
func serveOnce(t *testing.T, handle func(c *net.TCPConn)) instance.Instance {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			handle(c.(*net.TCPConn))
			_ = c.Close()
		}
	}()
	return instance.Instance{ID: "i-1", Address: listener.Addr().String()}
}

func newTestClient(t *testing.T) *Client {
	client, closeClient := New(headers.Names{AttemptID: "X-Attempt", ExpectInstance: "X-Expect", Deadline: "X-Deadline"}, time.Now)
	t.Cleanup(closeClient)
	return client
}

func post(client *Client, to instance.Instance, body []byte) (*Response, attemptresult.AttemptResult, error) {
	return client.Send(context.Background(), to, Request{Method: http.MethodPost, Target: "/", Host: "a.example", AttemptID: "one", Body: body,
		Header: http.Header{"X-Attempt": {"one"}}, Deadline: time.Now().Add(3 * time.Second)}, 4)
}

const (
	headWithoutLength = "HTTP/1.1 200 X\r\nX-Attempt: one\r\n\r\n"
	// longBody is more than the socket buffers of both sides hold.
	longBody = 8 << 20
)

// The write of the request may consume the socket's error, so that the read sees an end of file instead of a reset.
func TestResponseWithoutLengthIsIncompleteAfterAResetDuringTheWrite(t *testing.T) {
	to := serveOnce(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, headWithoutLength+"half")
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	client := newTestClient(t)
	passed := 0
	const rounds = 100
	for range rounds {
		response, result, err := post(client, to, make([]byte, longBody))
		if err == nil {
			passed++
			response.Release()
		} else if result.Status != attemptresult.Failed && result.Status != attemptresult.Unreachable { // the dial may fail on a busy machine
			t.Errorf("the attempt ended as %v, want Failed; error %v", result.Status, err)
		}
	}
	if passed > 0 {
		t.Errorf("%d of %d cut responses passed for whole", passed, rounds)
	}
}

// An end of file before the request is written may hide a reset, though the server has only shut down its side here.
func TestResponseWithoutLengthThatEndsBeforeTheRequestIsIncomplete(t *testing.T) {
	to := serveOnce(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, headWithoutLength+"whole")
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	})
	if response, result, err := post(newTestClient(t), to, make([]byte, longBody)); err == nil || result.Status != attemptresult.Failed {
		t.Errorf("got %+v as %v with error %v, want Failed", response, result.Status, err)
	}
}

// A server may begin a response before it has read the request, and end it after.
func TestResponseWithoutLengthThatEndsAfterTheRequestIsWhole(t *testing.T) {
	to := serveOnce(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, headWithoutLength+"who")
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "le")
	})
	client := newTestClient(t)
	for range 20 {
		response, _, err := post(client, to, make([]byte, longBody))
		if err != nil || string(response.Body) != "whole" {
			t.Fatalf("got %+v with error %v, want the body \"whole\"", response, err)
		}
		response.Release()
	}
}

const validStart = "HTTP/1.1 200 X\r\nX-Attempt: one\r\n"

// faultyResponses are no valid responses, by their fault.
var faultyResponses = map[string]string{
	"status 000":                          "HTTP/1.1 000 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"status 099":                          "HTTP/1.1 099 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"status 600":                          "HTTP/1.1 600 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"status 999":                          "HTTP/1.1 999 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"a status with a sign":                "HTTP/1.1 +20 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"a status of two digits":              "HTTP/1.1 20 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"a status of four digits":             "HTTP/1.1 2000 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"two blanks before the status":        "HTTP/1.1  200 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"a control byte in the reason":        "HTTP/1.1 200 X\x01\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"another version":                     "HTTP/2.0 200 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"status 101":                          "HTTP/1.1 101 X\r\nX-Attempt: one\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n",
	"status 101 before the response":      "HTTP/1.1 101 X\r\nUpgrade: a\r\n\r\n" + validStart + "Content-Length: 1\r\n\r\na",
	"status 000 before the response":      "HTTP/1.1 000 X\r\n\r\n" + validStart + "Content-Length: 1\r\n\r\na",
	"a length in an interim response":     "HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\n" + validStart + "Content-Length: 1\r\n\r\na",
	"a bad name in an interim response":   "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + validStart + "Content-Length: 1\r\n\r\na",
	"a blank inside a name":               validStart + "X A: b\r\nContent-Length: 1\r\n\r\na",
	"a blank before the colon":            validStart + "X-A : b\r\nContent-Length: 1\r\n\r\na",
	"a blank that hides the length":       validStart + "Content-Length : 9\r\n\r\na",
	"a tab before the colon":              validStart + "X-A\t: b\r\nContent-Length: 1\r\n\r\na",
	"a control byte in a name":            validStart + "X\x01A: b\r\nContent-Length: 1\r\n\r\na",
	"no name":                             validStart + ": b\r\nContent-Length: 1\r\n\r\na",
	"a name that is no token":             validStart + "X(A): b\r\nContent-Length: 1\r\n\r\na",
	"a name that is no ASCII":             validStart + "X\xe9: b\r\nContent-Length: 1\r\n\r\na",
	"a line without a colon":              validStart + "X-A\r\nContent-Length: 1\r\n\r\na",
	"a control byte in a value":           validStart + "X-A: b\x00c\r\nContent-Length: 1\r\n\r\na",
	"a delete byte in a value":            validStart + "X-A: b\x7f\r\nContent-Length: 1\r\n\r\na",
	"a carriage return in a value":        validStart + "X-A: b\rc\r\nContent-Length: 1\r\n\r\na",
	"two carriage returns":                validStart + "X-A: b\r\r\nContent-Length: 1\r\n\r\na",
	"a folded line":                       validStart + "X-A: b\r\n c\r\nContent-Length: 1\r\n\r\na",
	"a folded first line":                 "HTTP/1.1 200 X\r\n X-A: b\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"a length on a folded line":           validStart + "X-A: b\r\n\tContent-Length: 9\r\n\r\na",
	"two lengths":                         validStart + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
	"two lengths on a line":               validStart + "Content-Length: 1, 2\r\n\r\na",
	"a length with a sign":                validStart + "Content-Length: +1\r\n\r\na",
	"an empty length":                     validStart + "Content-Length: \r\n\r\n",
	"a length beyond 63 bits":             validStart + "Content-Length: 18446744073709551617\r\n\r\na",
	"a length beside chunked":             validStart + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"chunked beside a length":             validStart + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"gzip":                                validStart + "Transfer-Encoding: gzip\r\n\r\na",
	"gzip and chunked":                    validStart + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"identity":                            validStart + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\na",
	"an empty transfer encoding":          validStart + "Transfer-Encoding:\r\n\r\na",
	"chunked twice":                       validStart + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"chunked in HTTP/1.0":                 "HTTP/1.0 200 X\r\nX-Attempt: one\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"a 204 with a length":                 "HTTP/1.1 204 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"a chunked 204":                       "HTTP/1.1 204 X\r\nX-Attempt: one\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"a blank inside the name of trailers": validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX A: b\r\n\r\n",
	"a blank before a trailer's colon":    validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A : b\r\n\r\n",
	"a control byte in a trailer":         validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A: b\x00\r\n\r\n",
	"a folded trailer":                    validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A: b\r\n c\r\n\r\n",
	"a length in the trailers":            validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nContent-Length: 1\r\n\r\n",
	"a transfer encoding in the trailers": validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
	"a chunk with a sign":                 validStart + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n",
	"a chunk longer than its size":        validStart + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
}

func TestFaultyResponseIsNone(t *testing.T) {
	for fault, text := range faultyResponses {
		t.Run(fault, func(t *testing.T) {
			to := serveOnce(t, func(c *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, text)
			})
			response, result, err := post(newTestClient(t), to, nil)
			if err == nil || result.Status != attemptresult.Failed {
				t.Errorf("got %+v as %v, want Failed", response, result.Status)
			}
		})
	}
}

// validResponses have the body "a" or none. Each must pass, however its bytes are split.
var validResponses = map[string]string{
	"a length":                     validStart + "Content-Length: 1\r\n\r\na",
	"the same length twice":        validStart + "Content-Length: 1\r\ncontent-length:1 \r\n\r\na",
	"no reason":                    "HTTP/1.1 200\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"an empty reason":              "HTTP/1.1 200 \r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"line feeds alone":             "HTTP/1.1 200 X\nX-Attempt: one\nContent-Length: 1\n\na",
	"tabs and bytes beyond ASCII":  validStart + "X-A:\tb\tc\xe9\t\r\nContent-Length:\t1\t\r\n\r\na",
	"a field without a value":      validStart + "X-A:\r\nContent-Length: 1\r\n\r\na",
	"chunks":                       validStart + "Transfer-Encoding: Chunked \r\n\r\n01;x=\"y\"\r\na\r\n0\r\nX-A: b\r\n\r\n",
	"no length":                    validStart + "Connection: close\r\n\r\na",
	"HTTP/1.0":                     "HTTP/1.0 200 X\r\nX-Attempt: one\r\n\r\na",
	"interim responses":            "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\nContent-Length: 0\r\n\r\n" + validStart + "Content-Length: 1\r\n\r\na",
	"a 304 with the length of 200": "HTTP/1.1 304 X\r\nX-Attempt: one\r\nContent-Length: 9\r\n\r\n",
	"a 204 with the length 0":      "HTTP/1.1 204 X\r\nX-Attempt: one\r\nContent-Length: 0\r\n\r\n",
	"an unknown status":            "HTTP/1.1 599 X\r\nX-Attempt: one\r\nContent-Length: 1\r\n\r\na",
	"faulty bytes behind it":       validStart + "Content-Length: 1\r\n\r\naHTTP/1.1 000 X\r\n\r\n",
}

func TestValidResponsePasses(t *testing.T) {
	for form, text := range validResponses {
		t.Run(form, func(t *testing.T) {
			for _, step := range []int{1, 7, len(text)} {
				to := serveOnce(t, func(c *net.TCPConn) {
					_, _ = http.ReadRequest(bufio.NewReader(c))
					for rest := text; rest != ""; rest = rest[min(step, len(rest)):] {
						_, _ = io.WriteString(c, rest[:min(step, len(rest))])
					}
				})
				client := newTestClient(t)
				response, _, err := post(client, to, nil)
				if err != nil {
					t.Fatalf("in steps of %d: %v", step, err)
				}
				if want := strings.Repeat("a", len(response.Body)); len(response.Body) > 1 || string(response.Body) != want {
					t.Errorf("in steps of %d: got the body %q", step, response.Body)
				}
				response.Release()
			}
		})
	}
}

// Bytes behind a response that start no valid one were read with it, and must not be forgotten when the connection is kept.
func TestConnectionWithFaultyBytesBehindAResponseIsNotReused(t *testing.T) {
	to := serveOnce(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, validStart+"Content-Length: 1\r\n\r\na\x00")
		_, _ = io.Copy(io.Discard, c)
	})
	client := newTestClient(t)
	for range 2 {
		response, _, err := post(client, to, nil)
		if err != nil || response.Ordinal != 1 {
			t.Fatalf("got %+v with error %v, want the first response on a connection", response, err)
		}
		client.conns.closeExpired()
	}
}

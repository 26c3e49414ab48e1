package origin

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"redwingsill/core/responsesyntax"
	"redwingsill/io/headers"
	"redwingsill/io/standin/rawserver"
)

// bytesConn is a connection on which a server has sent some bytes and then, if repeats is set, sends a part again and
// again.
type bytesConn struct {
	net.Conn
	sent    []byte
	part    []byte
	repeats bool
	// read counts the bytes that were read.
	read int
}

func (c *bytesConn) Read(p []byte) (int, error) {
	n := copy(p, c.sent)
	c.sent = c.sent[n:]
	for n < len(p) && c.repeats {
		copied := copy(p[n:], c.part)
		c.sent = c.part[copied:]
		n += copied
	}
	c.read += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// read reads the response to a request with the attempt ID "one", and returns it with the number of bytes that were
// consumed. Bytes that belong to no valid response are read from the connection, but not consumed.
func read(from *bytesConn, method string) (*Response, int, error) {
	var syntax responsesyntax.Checker
	valid, _ := syntax.Add(from.sent, method == http.MethodHead)
	client, _ := New(headers.Names{AttemptID: "X-Attempt"}, time.Now)
	connection := newConn(from, 1, "", func() {})
	response, err := client.readResponse(connection, Request{Method: method, AttemptID: "one"})
	return response, min(from.read, valid) - connection.reader.Buffered(), err
}

func method(isHead bool) string {
	if isHead {
		return http.MethodHead
	}
	return http.MethodGet
}

// FuzzCutResponse checks that no response is returned if the connection ends before the response does.
func FuzzCutResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 X\r\nX-Attempt: one\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 204 X\r\nX-Attempt: one\r\n\r\n",
		"HTTP/1.1 200 X\r\nX-Attempt: one\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: a\r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nX-Attempt: earlier\r\nContent-Length: 1\r\n\r\na" +
			"HTTP/1.1 503 X\r\nX-Attempt: one\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 X\r\nX-Attempt: one\r\nConnection: close\r\n\r\nabc",
	} {
		for cut := range len(seed) {
			f.Add([]byte(seed), cut, false)
			f.Add([]byte(seed), cut, true)
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte, cut int, isHead bool) {
		whole, consumed, err := read(&bytesConn{sent: sent}, method(isHead))
		if err != nil || cut < 0 || cut >= consumed {
			return
		}
		surplus := []byte("surplus")
		if longer, _, err := read(&bytesConn{sent: append(bytes.Clone(sent), surplus...)}, method(isHead)); err != nil || !bytes.Equal(longer.Body, whole.Body) {
			return // the response ends with the connection, so that a cut can't be noticed
		}
		if got, _, err := read(&bytesConn{sent: sent[:cut]}, method(isHead)); err == nil {
			t.Errorf("the first %d of the %d bytes of a response gave %d with the body %q, want an error", cut, consumed, got.Status, got.Body)
		}
	})
}

// FuzzEndlessResponse checks that the bytes read are bounded if a server never stops sending.
func FuzzEndlessResponse(f *testing.F) {
	head := "HTTP/1.1 200 X\r\nX-Attempt: one\r\n"
	for start, part := range map[string]string{
		"":              "HTTP/1.1 103 X\r\n\r\n",
		"HTTP/1.1 200 ": "a",
		head:            "a: b\r\n",
		head + "\r\n":   strings.Repeat("a", 4096),
		head + "Transfer-Encoding: chunked\r\n\r\n0\r\n":    "a: b\r\n",
		"HTTP/1.1 200 X\r\nX-Attempt: earlier\r\n\r\n":      strings.Repeat("a", 4096),
		head + "Content-Length: 999999999999999999\r\n\r\n": "a",
	} {
		f.Add([]byte(start), []byte(part), false)
		f.Add([]byte(start), []byte(part), true)
	}
	const bound = maxResponseReads * (maxResponseHead + maxEncodedBody + readBufferSize)
	f.Fuzz(func(t *testing.T, start, part []byte, isHead bool) {
		if len(part) == 0 {
			return
		}
		from := &bytesConn{sent: start, part: part, repeats: true}
		if _, _, _ = read(from, method(isHead)); from.read > bound {
			t.Errorf("%d bytes were read, want at most %d", from.read, bound)
		}
	})
}

// FuzzFaultyResponse checks that what passes for a response has a valid head.
func FuzzFaultyResponse(f *testing.F) {
	for _, text := range rawserver.Faults("body", "X-Attempt: one\r\n") {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	for _, text := range faultyResponses {
		f.Add([]byte(text), false)
	}
	for _, text := range validResponses {
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, isHead bool) {
		if _, _, err := read(&bytesConn{sent: text}, method(isHead)); err == nil && !rawserver.HasValidHead(text) {
			t.Errorf("%q passes for a response", text)
		}
	})
}

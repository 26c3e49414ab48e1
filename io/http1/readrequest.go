package http1

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// readRequest reads the head of a request with net/http's parser and makes the checks of net/http's server.
func (c *connection) readRequest() (*http.Request, *requestError) {
	limit := c.server.limits().HeaderBytes
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // they are there
	c.bounded.startHead(buffered, limit+headSlack)
	r, err := http.ReadRequest(c.reader)
	if readErr := c.bounded.endHead(); readErr != nil {
		err = readErr
	}
	c.mu.Lock()
	c.setReadDeadline(0)
	c.mu.Unlock()
	if err != nil {
		return nil, classify(err)
	}
	if failure := validate(r); failure != nil {
		return nil, failure
	}
	r.RemoteAddr = c.remote
	if secure, ok := c.Conn.(*tls.Conn); ok {
		state := secure.ConnectionState()
		r.TLS = &state
	}
	return r, nil
}

// classify returns the failure for an error of net/http's parser.
func classify(err error) *requestError {
	var failed net.Error
	switch {
	case errors.Is(err, errHeadTooLong):
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, err.Error()}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &failed):
		return &requestError{}
	case strings.Contains(err.Error(), "unsupported transfer encoding"): // the parser's error has no exported type
		return &requestError{http.StatusNotImplemented, "unsupported transfer encoding"}
	}
	return &requestError{http.StatusBadRequest, "malformed request: " + err.Error()}
}

// validate makes the checks that net/http's server makes after its parser.
func validate(r *http.Request) *requestError {
	switch {
	case r.ProtoMajor != 1:
		return &requestError{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case r.ProtoAtLeast(1, 1) && r.Host == "":
		return &requestError{http.StatusBadRequest, "missing required Host header"}
	case !httpguts.ValidHostHeader(r.Host):
		return &requestError{http.StatusBadRequest, "malformed Host header"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &requestError{http.StatusBadRequest, "invalid header name"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &requestError{http.StatusBadRequest, "invalid header value"}
			}
		}
	}
	if expect := r.Header.Get("Expect"); expect != "" && !httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
		return &requestError{http.StatusExpectationFailed, "unknown expectation"}
	}
	if !r.ProtoAtLeast(1, 1) {
		r.Close = true // connections of older versions are not kept
	}
	return nil
}

package responseconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport checks the responses of another one.
type transport struct {
	inner *http.Transport
}

// Transport makes t check its responses, and returns the round tripper to use in its place. It wraps the connections that t dials
// and must be called before t is used. It is meant for HTTP/1 without TLS.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	return transport{inner: t}
}

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	length := r.ContentLength
	if length == 0 && r.Body != nil && r.Body != http.NoBody {
		length = -1 // net/http sends such a body in chunks
	}
	return t.inner.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.StartRequest(r.Method, length)
		}
	}})))
}

// CloseIdleConnections closes the idle connections. [http.Client] calls it.
func (t transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

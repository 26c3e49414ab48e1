package responseconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport checks the responses of another one.
type transport struct {
	inner *http.Transport
}

// Transport makes t check its responses, and returns the round tripper to use in its place. It wraps the connections that t dials
// and must be called before t is used. It is meant for HTTP/1, also over TLS.
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
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		encrypted := tls.Client(c, tlsConfig(t, address))
		if err := encrypted.HandshakeContext(ctx); err != nil {
			_ = c.Close() // the handshake's error is returned
			return nil, err
		}
		return New(encrypted), nil
	}
	return transport{inner: t}
}

// tlsConfig returns the configuration for a connection to an address. The checks need the bytes behind the encryption, and
// net/http encrypts above the connections that it gets from DialContext.
func tlsConfig(t *http.Transport, address string) *tls.Config {
	config := t.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
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

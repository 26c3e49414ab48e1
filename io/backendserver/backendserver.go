// Package backendserver sends orders to backend servers.
package backendserver

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/outcome"
	"redwingsill/io/attribute"
)

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 8 << 20

// BackendServer is a client of one backend server. Its methods may be called at the same time.
type BackendServer struct {
	address string
	http    *http.Client
	now     func() time.Time
}

// New returns a client of the server at an address that opens at most so many connections, and its clean-up. The
// function now is the clock by which deadlines count.
func New(address string, connections int, now func() time.Time) (*BackendServer, func()) {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, now: now}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &BackendServer{address: address, http: client, now: now}, transport.CloseIdleConnections
}

// Run sends an order and returns what became of it, and whether the server shed it. The outcome is NotRun only where
// no byte was written or the server says that it refused before running; it is Unknown for every other order that has
// no whole answer.
func (b *BackendServer) Run(ctx context.Context, order effect.Run) (outcome.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, order.Deadline.Sub(b.now()))
	defer cancel()
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, _ = info.Conn.(*conn)
		used.begin(order.Deadline)
	}})
	request, err := b.request(ctx, order)
	if err != nil {
		return outcome.NotRun{Reason: err.Error()}, false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return failed(err, used != nil && used.hasWritten()), false
	}
	defer func() { _ = response.Body.Close() }()
	if refused := response.Header.Get(HeaderRefused); refused != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<10))
		return refusal(refused), refused == "Shed" || refused == "Connections"
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	switch {
	case err != nil:
		return outcome.Unknown{Reason: "the answer ended early: " + err.Error()}, false
	case len(content) > maxAnswer:
		return outcome.Unknown{Reason: fmt.Sprintf("the answer has more than %d bytes", maxAnswer)}, false
	}
	return outcome.Answered{Status: response.StatusCode, Attributes: attributes(response.Header), Body: content}, false
}

func (b *BackendServer) request(ctx context.Context, order effect.Run) (*http.Request, error) {
	r := order.Request
	path := r.Attributes[attribute.Path]
	if path == "" {
		path = "/"
	}
	request, err := http.NewRequestWithContext(ctx, r.Attributes[attribute.Method], "http://"+b.address+path, newBody(r.Body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	for _, name := range slices.Sorted(maps.Keys(r.Attributes)) {
		if header, ok := attribute.ToHeader(name); ok {
			request.Header.Set(header, r.Attributes[name])
		}
	}
	deadline := time.Now().Add(order.Deadline.Sub(b.now()))
	request.Header.Set(HeaderGrant, strconv.FormatInt(order.Grant.Term, 10)+"."+strconv.FormatInt(order.Grant.Generation, 10))
	request.Header.Set(HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	request.Header.Set(HeaderKey, url.PathEscape(r.Key))
	if r.ID != "" {
		request.Header.Set(HeaderRequestID, r.ID)
	}
	return request, nil
}

func failed(err error, wrote bool) outcome.Outcome {
	if !wrote {
		return outcome.NotRun{Reason: "nothing was sent to the backend server: " + err.Error()}
	}
	return outcome.Unknown{Reason: "the answer was lost: " + err.Error()}
}

func refusal(reason string) outcome.NotRun {
	return outcome.NotRun{Reason: "the backend server refused: " + reason, Moved: reason == "Grant",
		RetryAfter: 50 * time.Millisecond}
}

func attributes(h http.Header) map[string]string {
	all := map[string]string{}
	for name := range h {
		if header, ok := attribute.FromHeader(name); ok {
			all[header] = h.Get(name)
		}
	}
	return all
}

// Package backendserver sends requests to backend servers over HTTP. Entry hosts on the platform use package origin
// instead.
package backendserver

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
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
	"redwingsill/io/bodybudget"
	"redwingsill/io/responseconn"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
	// maxResponseHeadBytes bounds a response's status line and header fields, together with its interim responses.
	maxResponseHeadBytes = 16 << 10
	// maxResponseBytes is the largest response body that is accepted.
	maxResponseBytes = 8 << 20
	// maxRefusalBytes is how much of the body of a refusal is read, so that the connection can be reused.
	maxRefusalBytes = 1 << 10
	// refusalRetryAfter is the time after which a request that a server refused may be sent again.
	refusalRetryAfter = 50 * time.Millisecond
)

// Client is an HTTP client of one backend server. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	bodies  *bodybudget.BodyBudget
	now     func() time.Time
}

// New returns a client of the server at an address and a function that closes its idle connections. The client opens at
// most the given number of connections, and reads responses within a budget that the clients of a host share. Deadlines
// are compared with now.
func New(address string, connections int, bodies *bodybudget.BodyBudget, now func() time.Time) (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialed, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: responseconn.New(dialed), now: now}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{address: address, http: client, bodies: bodies, now: now}, transport.CloseIdleConnections
}

// Run sends a request and returns its outcome. The second result reports whether the server refused the request because
// it is overloaded or has reached its connection limit. The outcome is NotRun only if no byte was written or the server
// reports that it refused the request before running it. It is Unknown for every other request without a complete
// response.
func (c *Client) Run(ctx context.Context, run effect.Run) (outcome.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, run.Deadline.Sub(c.now()))
	defer cancel()
	var requestConn *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		requestConn, _ = info.Conn.(*conn)
		requestConn.startRequest(run)
	}})
	request, err := c.newRequest(ctx, run)
	if err != nil {
		return outcome.NotRun{Reason: err.Error()}, false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failureOutcome(err, requestConn != nil && requestConn.hasWritten()), false
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(HeaderAttemptID); id != "" && id != request.Header.Get(HeaderAttemptID) {
		_ = requestConn.Close()       // later responses on this connection would be late too
		c.http.CloseIdleConnections() // a response without a body has made it idle already
		return outcome.Unknown{Reason: "the answer belongs to another attempt"}, false
	}
	if reason := response.Header.Get(HeaderRefused); reason != "" {
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes)); err != nil {
			return outcome.Unknown{Reason: "the refusal ended early: " + err.Error()}, false
		}
		return refusalOutcome(reason), reason == "Shed" || reason == "Connections"
	}
	content, err := c.bodies.Read(response.Body, response.ContentLength, maxResponseBytes)
	if err != nil {
		return outcome.Unknown{Reason: "the answer ended early: " + err.Error()}, false
	}
	return outcome.Answered{Status: response.StatusCode, Attributes: responseAttributes(response.Header), Body: content}, false
}

// newRequest returns the HTTP request for a run. The deadline header is in wall-clock time, since the server does not
// share the clock of run.Deadline.
func (c *Client) newRequest(ctx context.Context, run effect.Run) (*http.Request, error) {
	r := run.Request
	path := r.Attributes[attribute.Path]
	if path == "" {
		path = "/"
	}
	request, err := http.NewRequestWithContext(ctx, r.Attributes[attribute.Method], "http://"+c.address+path, newBody(r.Body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	for _, name := range slices.Sorted(maps.Keys(r.Attributes)) {
		if header, ok := attribute.ToHeader(name); ok {
			request.Header.Set(header, r.Attributes[name])
		}
	}
	deadline := time.Now().Add(run.Deadline.Sub(c.now()))
	request.Header.Set(HeaderAttemptID, strconv.FormatUint(rand.Uint64(), 16))
	request.Header.Set(HeaderGrant, strconv.FormatInt(run.Grant.Term, 10)+"."+strconv.FormatInt(run.Grant.Generation, 10))
	request.Header.Set(HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	request.Header.Set(HeaderKey, url.PathEscape(r.Key))
	if r.ID != "" {
		request.Header.Set(HeaderRequestID, r.ID)
	}
	return request, nil
}

// failureOutcome returns the outcome of a request that failed without a response. It is NotRun only if nothing was
// written to the connection.
func failureOutcome(err error, hasWritten bool) outcome.Outcome {
	if !hasWritten {
		return outcome.NotRun{Reason: "nothing was sent to the backend server: " + err.Error()}
	}
	return outcome.Unknown{Reason: "the answer was lost: " + err.Error()}
}

// refusalOutcome returns the outcome of a request that the server refused before running it. Moved is set if the server
// refused the request's grant, so that another route may be tried.
func refusalOutcome(reason string) outcome.NotRun {
	return outcome.NotRun{Reason: "the backend server refused: " + reason, Moved: reason == "Grant",
		RetryAfter: refusalRetryAfter}
}

// responseAttributes returns the response headers that are passed on as attributes.
func responseAttributes(h http.Header) map[string]string {
	attributes := map[string]string{}
	for name := range h {
		if attributeName, ok := attribute.FromHeader(name); ok {
			attributes[attributeName] = h.Get(name)
		}
	}
	return attributes
}

// Package platform reads and writes the platform's key-value store and reads its list of hosts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"redwingsill/core/hostentry"
	"redwingsill/core/kind"
	"redwingsill/io/responseconn"
)

// Limits of one call.
const (
	callTimeout      = 1500 * time.Millisecond // includes the wait for the rate limiter
	watchTimeout     = 25 * time.Second        // how long the platform holds a watch open
	maxResponseBytes = 4 << 20
)

// Client is an HTTP client of the platform. It is safe for concurrent use. If the base URL can't be parsed, all calls
// return an [*Error] of kind Invalid.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client of the platform at a base URL and a function that closes its idle connections. The client limits
// its calls to callsPerSecond, with bursts of twice that number.
func New(base string, callsPerSecond float64) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	c := &Client{base: base, http: &http.Client{Transport: responseconn.Transport(transport)},
		limiter: rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(2*callsPerSecond)))}
	return c, transport.CloseIdleConnections
}

// Read returns a key's value and revision. Revision 0 means that the key is absent. If after is not negative, Read
// waits until the revision is greater than after; if that does not happen within watchTimeout, it returns after as the
// revision, and no value. Each error is an [*Error], of kind Unavailable if the rate limiter or the platform did not
// accept the call, Invalid if the request can't be built, Conflict if the response has status 409, or Unknown otherwise.
func (c *Client) Read(ctx context.Context, key string, after int64) ([]byte, int64, error) {
	timeout := callTimeout
	if after >= 0 {
		timeout = watchTimeout + callTimeout
	}
	var result struct {
		Value    []byte
		Revision int64
	}
	request := struct {
		Key   string
		After int64
		Wait  string
	}{key, after, watchTimeout.String()}
	if err := c.call(ctx, "read "+key, "/v1/read", timeout, request, &result); err != nil {
		return nil, 0, err
	}
	return result.Value, result.Revision, nil
}

// Write writes a key if its revision equals expectedRevision, which is 0 for an absent key, and returns the new
// revision. The key expires after ttl, or never if ttl is 0. An empty value deletes the key. Each error is an [*Error],
// of kind Conflict if the revision differs, Unavailable if nothing was written, or Unknown if the write may have taken
// effect.
func (c *Client) Write(ctx context.Context, key string, value []byte, expectedRevision int64, ttl time.Duration) (int64, error) {
	request := struct {
		Key      string
		Value    []byte
		Revision int64
		TTL      string
	}{key, value, expectedRevision, ttl.String()}
	var result struct{ Revision int64 }
	if err := c.call(ctx, "write "+key, "/v1/write", callTimeout, request, &result); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// ListHosts returns the platform's list of entry hosts and backend servers, which may be out of date. Each error is
// an [*Error], of kind Unavailable if the rate limiter or the platform did not accept the call, Invalid if the request
// can't be built, Conflict if the response has status 409, or Unknown otherwise.
func (c *Client) ListHosts(ctx context.Context) ([]hostentry.HostEntry, error) {
	var result struct{ Hosts []hostentry.HostEntry }
	if err := c.call(ctx, "list hosts", "/v1/hosts", callTimeout, struct{}{}, &result); err != nil {
		return nil, err
	}
	return result.Hosts, nil
}

// call posts a request as JSON and decodes the response into result. The timeout includes the wait for the rate
// limiter.
func (c *Client) call(ctx context.Context, op, path string, timeout time.Duration, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return newError(op, kind.Unavailable, err)
	}
	requestBody, err := json.Marshal(request)
	if err != nil {
		return newError(op, kind.Invalid, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(requestBody))
	if err != nil {
		return newError(op, kind.Invalid, err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return newError(op, kind.Unknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case response.StatusCode == http.StatusConflict:
		return newError(op, kind.Conflict, errors.New("the key has another revision"))
	case response.StatusCode == http.StatusServiceUnavailable:
		return newError(op, kind.Unavailable, errors.New("the service is down"))
	case response.StatusCode != http.StatusOK:
		return newError(op, kind.Unknown, fmt.Errorf("status %d", response.StatusCode))
	case err != nil:
		return newError(op, kind.Unknown, err)
	}
	if err := json.Unmarshal(responseBody, result); err != nil {
		return newError(op, kind.Unknown, err)
	}
	return nil
}

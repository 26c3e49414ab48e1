// Package monitor reads from the monitoring system which backend servers are down.
package monitor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwingsill/core/kind"
	"redwingsill/io/responseconn"
)

// Limits of one call.
const (
	callTimeout      = time.Second
	maxResponseBytes = 1 << 20
)

// Client is an HTTP client of the monitoring system. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the monitoring system at a base URL and a function that closes its idle connections.
func New(base string) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: responseconn.Transport(transport), Timeout: callTimeout}}, transport.CloseIdleConnections
}

// DownServers returns the names of the backend servers that the monitoring system declares down. Each error is an
// [*Error], of kind Invalid if the base URL can't be parsed, and of kind Unavailable otherwise.
func (c *Client) DownServers(ctx context.Context) ([]string, error) {
	const op = "read verdicts"
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/verdicts", nil)
	if err != nil {
		return nil, newError(op, kind.Invalid, err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, newError(op, kind.Unavailable, fmt.Errorf("status %d", response.StatusCode))
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	var verdicts struct{ Down []string }
	if err := json.Unmarshal(text, &verdicts); err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	return verdicts.Down, nil
}

// Package monitor speaks to the monitoring group's feed of verdicts.
package monitor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwingsill/core/kind"
)

// The bounds of one call.
const (
	callTimeout = time.Second
	maxAnswer   = 1 << 20 // bytes
)

// Monitor is a client of the feed. Its methods may be called at the same time.
type Monitor struct {
	base string
	http *http.Client
}

// New returns a client of the feed at a base URL, and its clean-up.
func New(base string) (*Monitor, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Monitor{base: base, http: &http.Client{Transport: transport, Timeout: callTimeout}}, transport.CloseIdleConnections
}

// Down returns the names of the backend servers that are declared down. Errors are an [*Error] of kind Unavailable.
func (m *Monitor) Down(ctx context.Context) ([]string, error) {
	const op = "hear verdicts"
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, m.base+"/v1/verdicts", nil)
	if err != nil {
		return nil, newError(op, kind.Invalid, err)
	}
	response, err := m.http.Do(r)
	if err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, newError(op, kind.Unavailable, fmt.Errorf("status %d", response.StatusCode))
	}
	var answer struct{ Down []string }
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&answer); err != nil {
		return nil, newError(op, kind.Unavailable, err)
	}
	return answer.Down, nil
}

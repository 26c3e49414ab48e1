// Package platform speaks to the platform's key-value service and its list of hosts.
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
)

// The bounds of one call.
const (
	callTimeout  = 1500 * time.Millisecond
	watchTimeout = 25 * time.Second
	maxAnswer    = 4 << 20 // bytes
)

// Platform is a client of the platform's service. Its methods may be called at the same time.
type Platform struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client of the service at a base URL that makes at most so many calls a second, and its clean-up.
func New(base string, callsPerSecond float64) (*Platform, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	p := &Platform{base: base, http: &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(2*callsPerSecond)))}
	return p, transport.CloseIdleConnections
}

// Read returns a key's value and revision; revision 0 means that the key is absent. Where after is not negative it
// waits until the revision is higher, up to the length of a watch, and then returns revision after without a value.
// Errors are an [*Error] of kind Unavailable.
func (p *Platform) Read(ctx context.Context, key string, after int64) ([]byte, int64, error) {
	timeout := callTimeout
	if after >= 0 {
		timeout = watchTimeout + callTimeout
	}
	var answer struct {
		Value    []byte
		Revision int64
	}
	request := struct {
		Key   string
		After int64
		Wait  string
	}{key, after, watchTimeout.String()}
	if err := p.call(ctx, "read "+key, "/v1/read", timeout, request, &answer); err != nil {
		return nil, 0, err
	}
	return answer.Value, answer.Revision, nil
}

// Write writes a key if its revision is still the one given, and returns the new revision. With a ttl the key lapses.
// An empty value deletes the key. Errors are an [*Error] of kind Conflict where another write came first, Unavailable
// where nothing was written, or Unknown.
func (p *Platform) Write(ctx context.Context, key string, value []byte, revision int64, ttl time.Duration) (int64, error) {
	request := struct {
		Key      string
		Value    []byte
		Revision int64
		TTL      string
	}{key, value, revision, ttl.String()}
	var answer struct{ Revision int64 }
	if err := p.call(ctx, "write "+key, "/v1/write", callTimeout, request, &answer); err != nil {
		return 0, err
	}
	return answer.Revision, nil
}

// Hosts returns the platform's list of live and leaving hosts. Errors are an [*Error] of kind Unavailable.
func (p *Platform) Hosts(ctx context.Context) ([]hostentry.HostEntry, error) {
	var answer struct{ Hosts []hostentry.HostEntry }
	if err := p.call(ctx, "list hosts", "/v1/hosts", callTimeout, struct{}{}, &answer); err != nil {
		return nil, err
	}
	return answer.Hosts, nil
}

func (p *Platform) call(ctx context.Context, op, path string, timeout time.Duration, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := p.limiter.Wait(ctx); err != nil {
		return newError(op, kind.Unavailable, err)
	}
	text, err := json.Marshal(request)
	if err != nil {
		return newError(op, kind.Invalid, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.base+path, bytes.NewReader(text))
	if err != nil {
		return newError(op, kind.Invalid, err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := p.http.Do(r)
	if err != nil {
		return newError(op, kind.Unknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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
	if err := json.Unmarshal(body, answer); err != nil {
		return newError(op, kind.Unknown, err)
	}
	return nil
}

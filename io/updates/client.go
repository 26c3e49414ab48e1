// Package updates transfers store updates between entry hosts over HTTP, so that few of them need to read the store.
package updates

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/core/update"
	"redwingsill/io/responseconn"
	"redwingsill/io/tcp"
)

// Client is an HTTP client that requests store updates from other entry hosts. It is safe for concurrent use. Each
// error is an [*Error]: of kind NotFound if the host's history does not reach back to the revision, Unavailable if the
// host reports another error, such as having no fresh entries, Invalid if the request can't be built, and Unknown if the
// host does not respond or its response can't be read.
type Client struct {
	http *http.Client
}

// New returns a Client and a function that closes its idle connections.
func New() (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(responseMargin)}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{http: &http.Client{Transport: responseconn.Transport(transport)}}, transport.CloseIdleConnections
}

// Entries requests all entries under a prefix from a host.
func (c *Client) Entries(ctx context.Context, host netip.AddrPort, prefix string) (update.Update, error) {
	return c.get(ctx, host, url.Values{prefixField: {prefix}}, listTimeout)
}

// Changes requests the changes under a prefix after a revision from a host, which waits for changes for at most wait.
func (c *Client) Changes(ctx context.Context, host netip.AddrPort, prefix string, after int64, wait time.Duration) (update.Update, error) {
	return c.get(ctx, host, url.Values{prefixField: {prefix}, afterField: {strconv.FormatInt(after, 10)}, waitField: {wait.String()}},
		wait+responseMargin)
}

func (c *Client) get(ctx context.Context, host netip.AddrPort, query url.Values, timeout time.Duration) (update.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return update.Update{}, newError("request store updates", kind.Invalid, err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return update.Update{}, newError("request store updates", kind.Unknown, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read as far as needed
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return update.Update{}, newError("request store updates", kind.NotFound, errors.New(response.Status))
	case http.StatusBadRequest:
		return update.Update{}, newError("request store updates", kind.Invalid, errors.New(response.Status))
	default:
		return update.Update{}, newError("request store updates", kind.Unavailable, errors.New(response.Status))
	}
	var d document
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(&d); err != nil {
		return update.Update{}, newError("request store updates", kind.Unknown, err)
	}
	// The end of the body shows that it is whole, and its trailers are valid.
	if _, err := decoder.Token(); err != io.EOF {
		return update.Update{}, newError("request store updates", kind.Unknown, fmt.Errorf("the document does not end the response: %w", err))
	}
	records := make([]record.Record, len(d.Records))
	for i, e := range d.Records {
		records[i] = e.record()
	}
	return update.Update{Records: records, Revision: d.Revision, Age: d.Age}, nil
}

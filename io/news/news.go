// Package news is how entry hosts tell each other what the store holds, over HTTP, so that few of them need to read it.
package news

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/io/tcp"
)

// News is a client of other entry hosts' news. Its methods may be called at the same time. Errors are an [*Error]: of kind
// NotFound where the history does not reach back so far, Unavailable where the host says that it does not know, and Unknown
// where it does not answer.
type News struct {
	http *http.Client
}

// New returns a client and its clean-up.
func New() (*News, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(answerMargin)}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	return &News{http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Entries returns all entries under a prefix that a host knows, and the revision as of which they are.
func (n *News) Entries(ctx context.Context, at netip.AddrPort, prefix string) ([]record.Record, int64, error) {
	return n.ask(ctx, at, url.Values{prefixField: {prefix}}, listTimeout)
}

// Changes waits for changes after a revision that a host hears of, up to a time.
func (n *News) Changes(ctx context.Context, at netip.AddrPort, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error) {
	return n.ask(ctx, at, url.Values{prefixField: {prefix}, afterField: {strconv.FormatInt(after, 10)}, waitField: {wait.String()}},
		wait+answerMargin)
}

func (n *News) ask(ctx context.Context, at netip.AddrPort, query url.Values, timeout time.Duration) ([]record.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, newError("ask for news", kind.Invalid, err)
	}
	response, err := n.http.Do(r)
	if err != nil {
		return nil, 0, newError("ask for news", kind.Unknown, err)
	}
	defer func() { _ = response.Body.Close() }() // what mattered of it has been read
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return nil, 0, newError("ask for news", kind.NotFound, errors.New(response.Status))
	default:
		return nil, 0, newError("ask for news", kind.Unavailable, errors.New(response.Status))
	}
	var d document
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&d); err != nil {
		return nil, 0, newError("ask for news", kind.Unknown, err)
	}
	records := make([]record.Record, len(d.Records))
	for i, each := range d.Records {
		records[i] = each.record()
	}
	return records, d.At, nil
}

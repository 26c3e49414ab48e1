// Package updates is how entry hosts tell each other what the store holds, over HTTP, so that few of them need to read it.
package updates

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
	"redwingsill/core/update"
	"redwingsill/io/tcp"
)

// Updates is a client of other entry hosts' news. Its methods may be called at the same time. Errors are an [*Error]: of kind
// NotFound where the history does not reach back so far, Unavailable where the host says that it does not know, and Unknown
// where it does not answer.
type Updates struct {
	http *http.Client
}

// New returns a client and its clean-up.
func New() (*Updates, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(answerMargin)}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	return &Updates{http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Entries returns all entries under a prefix that a host knows.
func (n *Updates) Entries(ctx context.Context, at netip.AddrPort, prefix string) (update.Update, error) {
	return n.ask(ctx, at, url.Values{prefixField: {prefix}}, listTimeout)
}

// Changes waits for changes after a revision that a host hears of, up to a time.
func (n *Updates) Changes(ctx context.Context, at netip.AddrPort, prefix string, after int64, wait time.Duration) (update.Update, error) {
	return n.ask(ctx, at, url.Values{prefixField: {prefix}, afterField: {strconv.FormatInt(after, 10)}, waitField: {wait.String()}},
		wait+answerMargin)
}

func (n *Updates) ask(ctx context.Context, at netip.AddrPort, query url.Values, timeout time.Duration) (update.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return update.Update{}, newError("ask for news", kind.Invalid, err)
	}
	response, err := n.http.Do(r)
	if err != nil {
		return update.Update{}, newError("ask for news", kind.Unknown, err)
	}
	defer func() { _ = response.Body.Close() }() // what mattered of it has been read
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return update.Update{}, newError("ask for news", kind.NotFound, errors.New(response.Status))
	default:
		return update.Update{}, newError("ask for news", kind.Unavailable, errors.New(response.Status))
	}
	var d document
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&d); err != nil {
		return update.Update{}, newError("ask for news", kind.Unknown, err)
	}
	records := make([]record.Record, len(d.Records))
	for i, each := range d.Records {
		records[i] = each.record()
	}
	return update.Update{Records: records, Revision: d.At, Age: d.Age}, nil
}

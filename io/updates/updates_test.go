package updates_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"redwingsill/core/failure"
	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/core/update"
	"redwingsill/io/updates"
)

// source is a fake with fixed results, which records the last request.
type source struct {
	records []record.Record
	err     error
	request string
}

func (s *source) Entries(_ context.Context, prefix string) (update.Update, error) {
	s.request = "all of " + prefix
	return update.Update{Records: s.records, Revision: 77, Age: 30 * time.Millisecond}, s.err
}

func (s *source) Changes(_ context.Context, prefix string, after int64, wait time.Duration) (update.Update, error) {
	s.request = fmt.Sprint(prefix, " after ", after, " for ", wait)
	return update.Update{Records: s.records, Revision: 77, Age: 30 * time.Millisecond}, s.err
}

// serve starts a server for a source, and returns a client, the server's address and its URL.
func serve(t *testing.T, s updates.Source) (*updates.Client, netip.AddrPort, string) {
	server := httptest.NewServer(updates.Handler(s, slog.New(slog.DiscardHandler)))
	t.Cleanup(server.Close)
	client, closeClient := updates.New()
	t.Cleanup(closeClient)
	return client, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), server.URL
}

func TestRoundTrip(t *testing.T) {
	for name, records := range map[string][]record.Record{
		"none":  {},
		"short": {{Key: "p/a", Value: []byte{0, 255, '"'}, Revision: 70}, {Key: "p/b", Revision: 71, IsRemoved: true}},
		"long":  {{Key: "p/a", Value: bytes.Repeat([]byte("route "), 100_000), Revision: 72}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &source{records: records}
			client, address, _ := serve(t, s)
			for _, request := range []func() (update.Update, error){
				func() (update.Update, error) { return client.Entries(context.Background(), address, "p/") },
				func() (update.Update, error) {
					return client.Changes(context.Background(), address, "p/", 12, 600*time.Millisecond)
				},
			} {
				got, err := request()
				if err != nil || got.Revision != 77 || got.Age != 30*time.Millisecond || fmt.Sprint(got.Records) != fmt.Sprint(records) {
					t.Errorf("got %d records at revision %d, age %v, error %v; want %d records at revision 77, age 30ms", len(got.Records), got.Revision, got.Age, err, len(records))
				}
			}
			if want := "p/ after 12 for 600ms"; s.request != want {
				t.Errorf("request %q, want %q", s.request, want)
			}
		})
	}
}

// TestFieldNames checks the names in a response, which hosts of other versions decode.
func TestFieldNames(t *testing.T) {
	_, _, url := serve(t, &source{records: []record.Record{{Key: "p/a", Value: []byte("a"), Revision: 70}, {Key: "p/b", Revision: 71, IsRemoved: true}}})
	response, err := http.Get(url + updates.Path + "?Prefix=p")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	want := `{"At":77,"Age":30000000,"Records":[{"Key":"p/a","Value":"YQ==","Revision":70},{"Key":"p/b","Revision":71,"IsRemoved":true}]}` + "\n"
	if err != nil || string(got) != want {
		t.Errorf("body %q, error %v, want %q", got, err, want)
	}
}

func TestErrorKinds(t *testing.T) {
	for given, want := range map[kind.Kind]kind.Kind{kind.NotFound: kind.NotFound, kind.Unavailable: kind.Unavailable, kind.Unknown: kind.Unavailable} {
		client, address, _ := serve(t, &source{err: failure.New("call", given, errors.New("a fault"))})
		_, err := client.Changes(context.Background(), address, "p/", 1, time.Second)
		var failed *updates.Error
		if !errors.As(err, &failed) || failed.Kind != want {
			t.Errorf("source error of kind %s: got client error %v, want kind %s", given, err, want)
		}
	}
}

func TestInvalidRequests(t *testing.T) {
	_, _, url := serve(t, &source{})
	for _, query := range []string{"?Prefix=p&After=x&Wait=1s", "?Prefix=p&After=1&Wait=soon", "?Prefix=p&After=1"} {
		response, err := http.Get(url + updates.Path + query)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: status %d, want 400", query, response.StatusCode)
		}
	}
}

func TestUnresponsiveHostTimesOut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(server.Close)
	client, closeClient := updates.New()
	t.Cleanup(closeClient)
	startedAt := time.Now()
	_, err := client.Changes(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), "p/", 1, 600*time.Millisecond)
	if took := time.Since(startedAt); err == nil || took > 1200*time.Millisecond {
		t.Errorf("ended after %v with error %v, want an error within 1.2 s", took, err)
	}
}

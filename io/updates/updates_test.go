package updates_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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

// source is a fake with fixed answers.
type source struct {
	records []record.Record
	err     error
	asked   string
}

func (s *source) Entries(_ context.Context, prefix string) (update.Update, error) {
	s.asked = "all of " + prefix
	return update.Update{Records: s.records, Revision: 77, Age: 30 * time.Millisecond}, s.err
}

func (s *source) Changes(_ context.Context, prefix string, after int64, wait time.Duration) (update.Update, error) {
	s.asked = fmt.Sprint(prefix, " after ", after, " for ", wait)
	return update.Update{Records: s.records, Revision: 77, Age: 30 * time.Millisecond}, s.err
}

func serve(t *testing.T, s updates.Source) (*updates.Updates, netip.AddrPort, string) {
	server := httptest.NewServer(updates.Handler(s, slog.New(slog.DiscardHandler)))
	t.Cleanup(server.Close)
	n, clean := updates.New()
	t.Cleanup(clean)
	return n, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), server.URL
}

func TestNewsArriveAsTheyWere(t *testing.T) {
	for name, records := range map[string][]record.Record{
		"none":  {},
		"short": {{Key: "p/a", Value: []byte{0, 255, '"'}, Revision: 70}, {Key: "p/b", Revision: 71, IsRemoved: true}},
		"long":  {{Key: "p/a", Value: bytes.Repeat([]byte("route "), 100_000), Revision: 72}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &source{records: records}
			n, at, _ := serve(t, s)
			for _, ask := range []func() (update.Update, error){
				func() (update.Update, error) { return n.Entries(context.Background(), at, "p/") },
				func() (update.Update, error) {
					return n.Changes(context.Background(), at, "p/", 12, 600*time.Millisecond)
				},
			} {
				got, err := ask()
				if err != nil || got.Revision != 77 || got.Age != 30*time.Millisecond || fmt.Sprint(got.Records) != fmt.Sprint(records) {
					t.Errorf("%d records at %d, %v old, %v; want %d at 77", len(got.Records), got.Revision, got.Age, err, len(records))
				}
			}
			if want := "p/ after 12 for 600ms"; s.asked != want {
				t.Errorf("asked %q, want %q", s.asked, want)
			}
		})
	}
}

func TestFailuresKeepTheirKind(t *testing.T) {
	for given, want := range map[kind.Kind]kind.Kind{kind.NotFound: kind.NotFound, kind.Unavailable: kind.Unavailable, kind.Unknown: kind.Unavailable} {
		n, at, _ := serve(t, &source{err: failure.New("tell", given, errors.New("a fault"))})
		_, err := n.Changes(context.Background(), at, "p/", 1, time.Second)
		var failed *updates.Error
		if !errors.As(err, &failed) || failed.Kind != want {
			t.Errorf("%s came as %v, want %s", given, err, want)
		}
	}
}

func TestBadQuestions(t *testing.T) {
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

func TestSilentHostIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(server.Close)
	n, clean := updates.New()
	t.Cleanup(clean)
	began := time.Now()
	_, err := n.Changes(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), "p/", 1, 600*time.Millisecond)
	if took := time.Since(began); err == nil || took > 1200*time.Millisecond {
		t.Errorf("given up after %v with %v, want an error within 1.2 s", took, err)
	}
}

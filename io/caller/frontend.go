// Package caller is the HTTP front end for callers that address services by name. Entry hosts on the platform use
// package ingress instead.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"redwingsill/core/outcome"
	"redwingsill/core/problem"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/snapshot"
	"redwingsill/io/attribute"
	"redwingsill/io/task"
)

const (
	// maxTimeout bounds the timeout that a caller may set.
	maxTimeout   = 24 * time.Hour
	maxKeyLength = 512 // bytes
	// maxClockLead is how far the time in a request ID may be ahead of the host's clock.
	maxClockLead = time.Second
	// uuidLength is the length in bytes of a UUID in the form with hyphens. The function uuid.Parse accepts other forms
	// too.
	uuidLength = 36
)

// FrontEnd translates HTTP requests of callers into requests to the entry host, and outcomes into HTTP responses.
type FrontEnd struct {
	host entryHost
}

// New returns a front end for an entry host.
func New(host entryHost) *FrontEnd { return &FrontEnd{host: host} }

// Handler returns the handler for the paths /v1/services/{service}/keys/{key}/…, for services divided by key, and
// /v1/services/{service} and /v1/services/{service}/any/… for others.
func (f *FrontEnd) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/services/{service}/keys/{key}", f.serve)
	r.HandleFunc("/v1/services/{service}/keys/{key}/{rest:.*}", f.serve)
	r.HandleFunc("/v1/services/{service}", f.serve)
	r.HandleFunc("/v1/services/{service}/any/{rest:.*}", f.serve)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, http.StatusNotFound, problem.New("path", r.URL.Path, "/v1/services/{service}/keys/{key}"))
	})
	return r
}

func (f *FrontEnd) serve(w http.ResponseWriter, r *http.Request) {
	request, status, invalid := f.parse(w, r)
	if invalid != nil {
		writeProblem(w, status, *invalid)
		return
	}
	writeOutcome(w, f.host.Serve(r.Context(), request))
}

// parse returns the request. If the request is invalid or the host is not ready, parse returns the HTTP status and the
// problem instead.
func (f *FrontEnd) parse(w http.ResponseWriter, r *http.Request) (request.Request, int, *problem.Problem) {
	s := f.host.Snapshot()
	vars := mux.Vars(r)
	invalid := func(status int, path string, given any, allowed string) (request.Request, int, *problem.Problem) {
		p := problem.New(path, given, allowed)
		return request.Request{}, status, &p
	}
	if !s.IsReady {
		return invalid(http.StatusServiceUnavailable, "host", "not ready", "another entry host")
	}
	service, ok := s.Configuration.Services[vars["service"]]
	if !ok {
		return invalid(http.StatusNotFound, "service", vars["service"], "a declared service")
	}
	key, err := url.PathUnescape(vars["key"])
	switch {
	case err != nil:
		return invalid(http.StatusBadRequest, "key", vars["key"], "a key, escaped as in a URL")
	case service.DividedByKey && key == "":
		return invalid(http.StatusBadRequest, "key", key, "a key; the service is divided by key")
	case !service.DividedByKey && key != "":
		return invalid(http.StatusBadRequest, "key", key, "no key; the service is not divided by key")
	case len(key) > maxKeyLength:
		return invalid(http.StatusBadRequest, "key", strconv.Itoa(len(key))+" bytes", "at most "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	rank, ok := findRank(s, r.Header.Get(HeaderRank))
	if !ok {
		return invalid(http.StatusBadRequest, HeaderRank, r.Header.Get(HeaderRank), "a declared rank")
	}
	timeout, ok := parseTimeout(r.Header.Get(HeaderDeadline), rank)
	if !ok {
		return invalid(http.StatusBadRequest, HeaderDeadline, r.Header.Get(HeaderDeadline), `a time such as "250ms", up to "24h"`)
	}
	now := f.host.Now()
	issuedAt, ok := parseIssueTime(r.Header.Get(HeaderRequestID))
	if !ok {
		return invalid(http.StatusBadRequest, HeaderRequestID, r.Header.Get(HeaderRequestID), "a UUID of version 7")
	}
	if !f.waitForIssueTime(r.Context(), issuedAt) {
		return invalid(http.StatusBadRequest, HeaderRequestID, r.Header.Get(HeaderRequestID),
			"a UUID whose time is not ahead of "+now.UTC().Format(time.RFC3339Nano))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return invalid(http.StatusRequestEntityTooLarge, "body", "more", "at most "+strconv.FormatInt(service.MaxBodyBytes, 10)+" bytes")
	case err != nil:
		return invalid(http.StatusBadRequest, "body", err.Error(), "a whole body")
	}
	return request.Request{ID: strings.ToLower(r.Header.Get(HeaderRequestID)), IssuedAt: issuedAt, Service: service.Name, Key: key,
		Rank: rank.Name, Caller: callerName(r), Deadline: now.Add(timeout), Attributes: attributes(r), Body: body}, 0, nil
}

// waitForIssueTime waits until the time in a request ID is no longer ahead of the host's clock. The dedup tables of the
// lease holders rely on this: when a request starts, the time in its ID is ahead by at most the clock skew between
// hosts. It returns false if the time is more than [maxClockLead] ahead or the context ends.
func (f *FrontEnd) waitForIssueTime(ctx context.Context, issuedAt time.Time) bool {
	ahead := issuedAt.Sub(f.host.Now())
	if ahead <= 0 {
		return true
	}
	if ahead > maxClockLead {
		return false
	}
	return task.Sleep(ctx, ahead)
}

// findRank returns the declared rank, a priority class, with the given name, or the default rank if the name is empty.
// It reports whether there is one.
func findRank(s *snapshot.Snapshot, name string) (resource.Rank, bool) {
	if name == "" {
		return s.Configuration.DefaultRank()
	}
	rank, ok := s.Configuration.Ranks[name]
	return rank, ok
}

// parseTimeout returns the timeout in a header value, or the rank's target response time if the value is empty, and
// whether the value is valid.
func parseTimeout(text string, rank resource.Rank) (time.Duration, bool) {
	if text == "" {
		return rank.Target.Std(), true
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d > 0 && d <= maxTimeout
}

// parseIssueTime returns the time in a request ID, which must be a UUID of version 7. It accepts an empty ID and
// returns the zero time for it.
func parseIssueTime(id string) (time.Time, bool) {
	if id == "" {
		return time.Time{}, true
	}
	u, err := uuid.Parse(id)
	if err != nil || len(id) != uuidLength || u.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(u.Time().UnixTime()), true
}

// callerName returns the name that the caller gives, or its IP address.
func callerName(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return host
}

// attributes returns the attributes of a request: its method, path with query, trace context and forwarded header
// fields.
func attributes(r *http.Request) map[string]string {
	path := "/" + mux.Vars(r)["rest"]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	all := map[string]string{attribute.Method: r.Method, attribute.Path: path}
	if parent := r.Header.Get("Traceparent"); parent != "" {
		all[attribute.Traceparent] = parent
	}
	for name := range r.Header {
		if a, ok := attribute.FromHeader(name); ok {
			all[a] = r.Header.Get(name)
		}
	}
	return all
}

// writeOutcome writes an outcome as an HTTP response.
func writeOutcome(w http.ResponseWriter, o outcome.Outcome) {
	w.Header().Set(HeaderOutcome, outcome.Name(o))
	switch o := o.(type) {
	case outcome.Answered:
		for name, value := range o.Attributes {
			if header, ok := attribute.ToHeader(name); ok {
				w.Header().Set(header, value)
			}
		}
		if o.IsReplayed {
			w.Header().Set(HeaderReplayed, "true")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(o.Body)))
		w.WriteHeader(o.Status)
		_, _ = w.Write(o.Body)
	case outcome.NotRun:
		w.Header().Set(HeaderReason, o.Reason)
		// Retry-After is in whole seconds: the time is rounded up, and is at least 1 s.
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, o.RetryAfter.Seconds()+0.999))))
		w.WriteHeader(http.StatusServiceUnavailable)
	case outcome.Unknown:
		w.Header().Set(HeaderReason, o.Reason)
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

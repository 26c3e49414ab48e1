// Package caller is the HTTP front end for callers.
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
	maxDeadline  = 24 * time.Hour
	maxKeyLength = 512 // bytes
	maxAhead     = time.Second
)

// Caller turns HTTP requests of callers into requests of the decisions, and outcomes into HTTP responses.
type Caller struct {
	server server
}

// New returns a front end for an entry host.
func New(s server) *Caller { return &Caller{server: s} }

// Handler returns the handler of all callers' paths: /v1/services/{service}/keys/{key}/… for services that are divided
// by key, and /v1/services/{service}/… for others.
func (c *Caller) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/services/{service}/keys/{key}", c.serve)
	r.HandleFunc("/v1/services/{service}/keys/{key}/{rest:.*}", c.serve)
	r.HandleFunc("/v1/services/{service}", c.serve)
	r.HandleFunc("/v1/services/{service}/any/{rest:.*}", c.serve)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, http.StatusNotFound, problem.New("path", r.URL.Path, "/v1/services/{service}/keys/{key}"))
	})
	return r
}

func (c *Caller) serve(w http.ResponseWriter, r *http.Request) {
	request, status, wrong := c.parse(w, r)
	if wrong != nil {
		writeProblem(w, status, *wrong)
		return
	}
	answer(w, c.server.Serve(r.Context(), request))
}

// parse returns the request, or what is wrong with it and the status to say so with.
func (c *Caller) parse(w http.ResponseWriter, r *http.Request) (request.Request, int, *problem.Problem) {
	s := c.server.Snapshot()
	vars := mux.Vars(r)
	bad := func(status int, path string, given any, allowed string) (request.Request, int, *problem.Problem) {
		p := problem.New(path, given, allowed)
		return request.Request{}, status, &p
	}
	if !s.IsReady {
		return bad(http.StatusServiceUnavailable, "host", "not ready", "another entry host")
	}
	service, ok := s.Configuration.Services[vars["service"]]
	if !ok {
		return bad(http.StatusNotFound, "service", vars["service"], "a declared service")
	}
	key, err := url.PathUnescape(vars["key"])
	switch {
	case err != nil:
		return bad(http.StatusBadRequest, "key", vars["key"], "a key, escaped as in a URL")
	case service.DividedByKey && key == "":
		return bad(http.StatusBadRequest, "key", key, "a key; the service is divided by key")
	case !service.DividedByKey && key != "":
		return bad(http.StatusBadRequest, "key", key, "no key; the service is not divided by key")
	case len(key) > maxKeyLength:
		return bad(http.StatusBadRequest, "key", strconv.Itoa(len(key))+" bytes", "at most "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	rank, ok := rankOf(s, r.Header.Get(HeaderRank))
	if !ok {
		return bad(http.StatusBadRequest, HeaderRank, r.Header.Get(HeaderRank), "a declared rank")
	}
	patience, ok := patienceOf(r.Header.Get(HeaderDeadline), rank)
	if !ok {
		return bad(http.StatusBadRequest, HeaderDeadline, r.Header.Get(HeaderDeadline), `a time such as "250ms", up to "24h"`)
	}
	now := c.server.Now()
	issuedAt, ok := issueTime(r.Header.Get(HeaderRequestID))
	if !ok {
		return bad(http.StatusBadRequest, HeaderRequestID, r.Header.Get(HeaderRequestID), "a UUID of version 7")
	}
	if !c.awaitIssue(r.Context(), issuedAt) {
		return bad(http.StatusBadRequest, HeaderRequestID, r.Header.Get(HeaderRequestID),
			"a UUID whose time is not ahead of "+now.UTC().Format(time.RFC3339Nano))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bad(http.StatusRequestEntityTooLarge, "body", "more", "at most "+strconv.FormatInt(service.MaxBodyBytes, 10)+" bytes")
	case err != nil:
		return bad(http.StatusBadRequest, "body", err.Error(), "a whole body")
	}
	return request.Request{ID: strings.ToLower(r.Header.Get(HeaderRequestID)), IssuedAt: issuedAt, Service: service.Name, Key: key,
		Rank: rank.Name, Caller: callerOf(r), Deadline: now.Add(patience), Attributes: attributesOf(r), Body: body}, 0, nil
}

// awaitIssue waits until the time in a request id has come, which the stewards rely on, and reports whether it has.
// A caller whose clock is far ahead does not wait.
func (c *Caller) awaitIssue(ctx context.Context, issuedAt time.Time) bool {
	ahead := issuedAt.Sub(c.server.Now())
	if ahead <= 0 {
		return true
	}
	if ahead > maxAhead {
		return false
	}
	return task.Sleep(ctx, ahead)
}

func rankOf(s *snapshot.Snapshot, name string) (resource.Rank, bool) {
	if name == "" {
		return s.Configuration.DefaultRank()
	}
	rank, ok := s.Configuration.Ranks[name]
	return rank, ok
}

func patienceOf(text string, rank resource.Rank) (time.Duration, bool) {
	if text == "" {
		return rank.Target.Std(), true
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d > 0 && d <= maxDeadline
}

// issueTime returns the time in a request id. An empty id is allowed and has none.
func issueTime(id string) (time.Time, bool) {
	if id == "" {
		return time.Time{}, true
	}
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(u.Time().UnixTime()), true
}

func callerOf(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return host
}

func attributesOf(r *http.Request) map[string]string {
	path := "/" + mux.Vars(r)["rest"]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	all := map[string]string{attribute.Method: r.Method, attribute.Path: path}
	if parent := r.Header.Get("Traceparent"); parent != "" {
		all[attribute.Trace] = parent
	}
	for name := range r.Header {
		if a, ok := attribute.FromHeader(name); ok {
			all[a] = r.Header.Get(name)
		}
	}
	return all
}

// answer writes an outcome as an HTTP response.
func answer(w http.ResponseWriter, o outcome.Outcome) {
	w.Header().Set(HeaderOutcome, outcome.Name(o))
	switch o := o.(type) {
	case outcome.Answered:
		for name, value := range o.Attributes {
			if header, ok := attribute.HeaderOf(name); ok {
				w.Header().Set(header, value)
			}
		}
		if o.IsReplayed {
			w.Header().Set(HeaderKept, "true")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(o.Body)))
		w.WriteHeader(o.Status)
		_, _ = w.Write(o.Body)
	case outcome.NotRun:
		w.Header().Set(HeaderReason, o.Reason)
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, o.RetryAfter.Seconds()+0.999))))
		w.WriteHeader(http.StatusServiceUnavailable)
	case outcome.Unknown:
		w.Header().Set(HeaderReason, o.Reason)
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// Package ingress is the HTTP front end for callers of entry hosts on the platform; other entry hosts use package
// caller. It matches requests to routes by host and path.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"redwingsill/core/keyrange"
	"redwingsill/core/limits"
	"redwingsill/core/outcome"
	"redwingsill/core/rcu"
	"redwingsill/core/routing"
	"redwingsill/core/rule"
	"redwingsill/core/slotrequest"
	"redwingsill/io/forward"
	"redwingsill/io/headers"
	"redwingsill/io/origin"
)

// Ingress is an HTTP handler that forwards callers' requests to backend servers and translates outcomes into HTTP
// responses.
type Ingress struct {
	headers   headers.Names
	now       func() time.Time
	log       *slog.Logger
	routing   *rcu.Value[routing.Routing]
	forwarder *forward.Forwarder
	// drain is the shutdown schedule, or nil while the host runs normally.
	drain atomic.Pointer[drainSchedule]
	// baseContext cancels all requests in progress when it is cancelled by cancelBase.
	baseContext context.Context
	cancelBase  context.CancelFunc
	// bodyBytes is the memory in bytes of the bodies of requests in progress. A body is counted once it has been read.
	bodyBytes      atomic.Int64
	activeRequests atomic.Int64
}

// New returns a front end that forwards requests with f.
func New(names headers.Names, routes *rcu.Value[routing.Routing], f *forward.Forwarder, now func() time.Time,
	log *slog.Logger) *Ingress {
	i := &Ingress{headers: names, now: now, log: log, routing: routes, forwarder: f}
	i.baseContext, i.cancelBase = context.WithCancel(context.Background())
	return i
}

// Drain prepares the shutdown of this host. From now on each response closes its connection. Requests are refused if
// they arrive after lastRequest, when the platform should have stopped sending them to this host, or if they may still
// run at stopAt. Drain cancels no requests; the caller must call [Ingress.CancelRequests] at stopAt.
func (i *Ingress) Drain(lastRequest, stopAt time.Time) {
	i.drain.Store(&drainSchedule{lastRequest: lastRequest, stopAt: stopAt})
}

// CancelRequests cancels the requests in progress. Their callers get the outcome that is known by then.
func (i *Ingress) CancelRequests() { i.cancelBase() }

// ActiveRequests returns the number of requests in progress.
func (i *Ingress) ActiveRequests() int64 { return i.activeRequests.Load() }

// newServer returns an HTTP server for callers with the given limits.
func (i *Ingress) newServer(l limits.Limits) *http.Server {
	return &http.Server{Handler: i, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		MaxHeaderBytes: l.HeaderBytes, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelDebug)}
}

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.activeRequests.Add(1)
	defer i.activeRequests.Add(-1)
	now := i.now()
	w.Header()["Date"] = nil // net/http would add a field of its own otherwise
	schedule := i.drain.Load()
	if schedule != nil {
		w.Header().Set("Connection", "close")
	}
	routes := i.routing.Read()
	if !routes.IsLoaded() {
		i.reject(w, r, http.StatusServiceUnavailable, unconfiguredRetryAfter, "no configuration yet")
		return
	}
	path, _, _ := strings.Cut(requestTarget(r), "?")
	route, ok := routes.Table.Find(r.Host, path)
	if !ok {
		i.reject(w, r, http.StatusNotFound, 0, "no route")
		return
	}
	request, status, reason := i.parse(r, route, now)
	if status != 0 {
		i.reject(w, r, status, 0, reason)
		return
	}
	if schedule != nil && schedule.rejects(now, expectedTime(route)) {
		i.reject(w, r, http.StatusServiceUnavailable, otherHostRetryAfter, "this host stops")
		return
	}
	body, status, reason := i.readBody(w, r, request.Deadline, routes.Limits.BodyBytes, now)
	defer i.bodyBytes.Add(-int64(cap(body)))
	if status != 0 {
		w.Header().Set("Connection", "close")
		i.reject(w, r, status, otherHostRetryAfter, reason)
		return
	}
	request.Body = body
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(i.baseContext, cancel)()
	response, failure := i.forwarder.Serve(ctx, route, request, parseKey(r.Header.Get(i.headers.Key)))
	if i.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if response != nil {
		i.writeResponse(w, r.Method, response)
		return
	}
	switch failure := failure.(type) {
	case outcome.NotRun:
		w.Header().Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
		writeText(w, http.StatusServiceUnavailable, failure.Reason)
	case outcome.Unknown:
		writeText(w, http.StatusBadGateway, failure.Reason)
	case outcome.Answered:
	}
}

// expectedTime returns how long a request of a route is expected to take.
func expectedTime(route *rule.Rule) time.Duration {
	return min(maxExpectedTime, max(minExpectedTime, time.Duration(float64(route.Objective)*expectedTimeRatio)))
}

// parse returns the request without its body. If the request is invalid, it returns a status above 0 and the reason.
func (i *Ingress) parse(r *http.Request, route *rule.Rule, now time.Time) (origin.Request, int, string) {
	request := origin.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: r.Header,
		AttemptID: r.Header.Get(i.headers.AttemptID), Deadline: now.Add(route.Timeout)}
	if request.AttemptID == "" || len(r.Header[i.headers.AttemptID]) > 1 {
		return request, http.StatusBadRequest, "the request needs one " + i.headers.AttemptID
	}
	if value := r.Header.Get(i.headers.Deadline); value != "" {
		timeout, err := strconv.ParseInt(value, 10, 64)
		if err != nil || timeout < 0 || timeout > int64(maxTimeout/time.Millisecond) {
			return request, http.StatusBadRequest, i.headers.Deadline + " is no number of milliseconds"
		}
		request.Deadline = now.Add(time.Duration(timeout) * time.Millisecond)
	}
	if value := r.Header.Get(i.headers.Key); value != "" && parseKey(value) == slotrequest.NoKey {
		return request, http.StatusBadRequest, i.headers.Key + " is no key"
	}
	return request, 0, ""
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// parseKey returns the key in a header value, or [slotrequest.NoKey] if it is not an integer in the range of keys.
func parseKey(value string) int {
	key, err := strconv.Atoi(value)
	if err != nil || key < 0 || key > keyrange.MaxKey {
		return slotrequest.NoKey
	}
	return key
}

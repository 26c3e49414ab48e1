// Package ingress is the HTTP front end for callers who address routes by host and path.
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

// Ingress turns callers' HTTP requests into requests to backend servers, and what became of them into HTTP answers.
type Ingress struct {
	names   headers.Headers
	now     func() time.Time
	log     *slog.Logger
	routing *rcu.Value[routing.Routing]
	forward *forward.Forward
	// leaving tells when this host stops, once that is known.
	leaving atomic.Pointer[leaving]
	// stopped ends when requests are given up that are still under way.
	stopped context.Context
	stop    context.CancelFunc
	// bodies is how many bytes of bodies are held.
	bodies atomic.Int64
	active atomic.Int64
}

// New returns a front end.
func New(names headers.Headers, routes *rcu.Value[routing.Routing], f *forward.Forward, now func() time.Time,
	log *slog.Logger) *Ingress {
	i := &Ingress{names: names, now: now, log: log, routing: routes, forward: f}
	i.stopped, i.stop = context.WithCancel(context.Background())
	return i
}

// Leave tells that this host stops at a time. From now on each answer closes its connection, and requests are refused
// that would take longer, or that come when the platform should send none any more.
func (i *Ingress) Leave(lastRequest, at time.Time) {
	i.leaving.Store(&leaving{lastRequest: lastRequest, at: at})
}

// Stop answers what is still under way.
func (i *Ingress) Stop() { i.stop() }

// Active returns how many requests are under way.
func (i *Ingress) Active() int64 { return i.active.Load() }

// Server returns an HTTP server for the limits.
func (i *Ingress) Server(l limits.Limits) *http.Server {
	return &http.Server{Handler: i, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		MaxHeaderBytes: l.HeaderBytes, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelDebug)}
}

// ServeHTTP serves one request.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.active.Add(1)
	defer i.active.Add(-1)
	now := i.now()
	w.Header()["Date"] = nil
	leaves := i.leaving.Load()
	if leaves != nil {
		w.Header().Set("Connection", "close")
	}
	routes := i.routing.Read()
	if !routes.IsLoaded() {
		i.refuse(w, r, http.StatusServiceUnavailable, unknownRetry, "no configuration yet")
		return
	}
	path, _, _ := strings.Cut(targetOf(r), "?")
	of, ok := routes.Table.Find(r.Host, path)
	if !ok {
		i.refuse(w, r, http.StatusNotFound, 0, "no route")
		return
	}
	request, status, reason := i.parse(r, of, now)
	if status != 0 {
		i.refuse(w, r, status, 0, reason)
		return
	}
	if leaves != nil && leaves.isTooLate(now, needed(of)) {
		i.refuse(w, r, http.StatusServiceUnavailable, leavingRetry, "this host stops")
		return
	}
	body, status, reason := i.body(w, r, request.Deadline, routes.Limits.BodyBytes, now)
	defer i.bodies.Add(-int64(cap(body)))
	if status != 0 {
		w.Header().Set("Connection", "close")
		i.refuse(w, r, status, leavingRetry, reason)
		return
	}
	request.Body = body
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(i.stopped, cancel)()
	answer, end := i.forward.Serve(ctx, of, request, keyOf(r.Header.Get(i.names.Key)))
	if i.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if answer != nil {
		i.pass(w, answer)
		return
	}
	switch end := end.(type) {
	case outcome.NotRun:
		w.Header().Set("Retry-After", strconv.FormatFloat(end.RetryAfter.Seconds(), 'f', 3, 64))
		write(w, http.StatusServiceUnavailable, end.Reason)
	case outcome.Unknown:
		write(w, http.StatusBadGateway, end.Reason)
	case outcome.Answered:
	}
}

// needed returns how much time a request of a route is likely to take at the most.
func needed(of *rule.Rule) time.Duration {
	return min(neededMost, max(neededLeast, time.Duration(float64(of.Objective)*neededPart)))
}

// parse returns the request without its body, or a status and what is wrong.
func (i *Ingress) parse(r *http.Request, of *rule.Rule, now time.Time) (origin.Request, int, string) {
	request := origin.Request{Method: r.Method, Target: targetOf(r), Host: r.Host, Header: r.Header,
		Attempt: r.Header.Get(i.names.Attempt), Deadline: now.Add(of.Timeout)}
	if request.Attempt == "" || len(r.Header[i.names.Attempt]) > 1 {
		return request, http.StatusBadRequest, "the request needs one " + i.names.Attempt
	}
	if value := r.Header.Get(i.names.Deadline); value != "" {
		patience, err := strconv.ParseInt(value, 10, 64)
		if err != nil || patience < 0 || patience > int64(mostPatience/time.Millisecond) {
			return request, http.StatusBadRequest, i.names.Deadline + " is no number of milliseconds"
		}
		request.Deadline = now.Add(time.Duration(patience) * time.Millisecond)
	}
	if value := r.Header.Get(i.names.Key); value != "" && keyOf(value) == slotrequest.NoKey {
		return request, http.StatusBadRequest, i.names.Key + " is no key"
	}
	return request, 0, ""
}

// targetOf returns the path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func keyOf(value string) int {
	key, err := strconv.Atoi(value)
	if err != nil || key < 0 || key > keyrange.Last {
		return slotrequest.NoKey
	}
	return key
}

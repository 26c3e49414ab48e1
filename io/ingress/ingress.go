// Package ingress is the HTTP front end for callers of entry hosts on the platform; other entry hosts use package
// caller. It matches requests to routes by host and path.
package ingress

import (
	"context"
	"log/slog"
	"net"
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
	"redwingsill/core/uploads"
	"redwingsill/io/bodybudget"
	"redwingsill/io/forward"
	"redwingsill/io/headers"
	"redwingsill/io/http1"
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
	// bodies bounds the memory of the bodies of requests in progress.
	bodies *bodybudget.BodyBudget
	// longBodies decides which long bodies are read.
	longBodies     *longBodies
	metrics        Metrics
	activeRequests atomic.Int64
	server         *http1.Server
}

// New returns a front end that forwards requests with f. The bodies of requests in progress use at most bodyMemory bytes,
// without the short ones, and what the host's link carries of them is bounded by initial.
func New(names headers.Names, bodyMemory int64, initial uploads.Uploads, metrics Metrics, routes *rcu.Value[routing.Routing],
	f *forward.Forwarder, now func() time.Time, log *slog.Logger) *Ingress {
	i := &Ingress{headers: names, now: now, log: log, routing: routes, forwarder: f, bodies: bodybudget.New(bodyMemory, maxUncountedBody),
		longBodies: newLongBodies(initial, now), metrics: metrics}
	i.baseContext, i.cancelBase = context.WithCancel(context.Background())
	i.server = http1.New(i, func() limits.Limits { return i.routing.Read().Limits }, log)
	return i
}

// Serve accepts connections until the listener is closed; the returned channel then receives nil. The limits of the
// current configuration apply to each request. The returned function closes the listener and all connections.
func (i *Ingress) Serve(ctx context.Context, listener net.Listener) (<-chan error, func()) {
	return i.server.Serve(ctx, listener)
}

// Drain prepares the shutdown of this host. From now on each connection is closed after the response to the last request
// that was read from it. Requests are refused if they arrive after lastRequest, when the platform should have stopped
// sending them to this host, or if they may still run at stopAt. Drain cancels no requests; the caller must call [Ingress.CancelRequests] at stopAt.
func (i *Ingress) Drain(lastRequest, stopAt time.Time) {
	i.drain.Store(&drainSchedule{lastRequest: lastRequest, stopAt: stopAt})
	i.server.Drain()
}

// CancelRequests cancels the requests in progress. Their callers get the outcome that is known by then.
func (i *Ingress) CancelRequests() { i.cancelBase() }

// ActiveRequests returns the number of requests in progress.
func (i *Ingress) ActiveRequests() int64 { return i.activeRequests.Load() }

// BodyBytes returns the memory in bytes of the bodies of requests in progress, without the short ones.
func (i *Ingress) BodyBytes() int64 { return i.bodies.Reserved() }

// LinkBytes returns the bytes of long bodies that were admitted and are still to cross the host's link, to or from the host.
func (i *Ingress) LinkBytes() float64 { return i.longBodies.state.Read().LinkBytes(i.now()) }

// ReadAhead returns the number of requests that were read before earlier ones of their connection were answered.
func (i *Ingress) ReadAhead() int64 { return i.server.ReadAhead() }

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.activeRequests.Add(1)
	defer i.activeRequests.Add(-1)
	arrived := i.now()
	w.Header()["Date"] = nil // the server would add a field of its own otherwise
	routes, route, refused := i.findRoute(r)
	if refused != nil {
		i.reject(w, r, *refused)
		return
	}
	request, refused := i.parse(r, route, arrived)
	if refused == nil && i.isTooLate(route) {
		refused = &hostStops
	}
	if refused != nil {
		i.reject(w, r, *refused)
		return
	}
	service, long, refused := i.admitBody(r, routes, route, request)
	if refused != nil {
		i.reject(w, r, *refused)
		return
	}
	defer long.end()
	body, release, refused := i.readBody(w, r, request.Deadline, routes.Limits.BodyBytes, arrived)
	defer release()
	if refused == nil && !route.IsIdempotent && http1.IsAhead(r.Context()) {
		// If an earlier response closes the connection, the caller sends this request again.
		if !http1.AwaitTurn(r.Context()) {
			return
		}
		if _, route, refused = i.findRoute(r); refused == nil { // a configuration may have come meanwhile
			request, refused = i.parse(r, route, arrived)
		}
	}
	if refused == nil && i.isTooLate(route) {
		refused = &hostStops
	}
	if refused != nil {
		i.reject(w, r, *refused)
		return
	}
	request.Body = body
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(i.baseContext, cancel)()
	response, failure := i.serve(ctx, route, service, request, parseKey(r.Header.Get(i.headers.Key)), long)
	if response != nil {
		defer response.Release()
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

// findRoute returns the current configuration and the route of a request, or why there is none.
func (i *Ingress) findRoute(r *http.Request) (*routing.Routing, *rule.Rule, *refusal) {
	routes := i.routing.Read()
	if !routes.IsLoaded() {
		return routes, nil, &refusal{http.StatusServiceUnavailable, unconfiguredRetryAfter, "no configuration yet"}
	}
	path, _, _ := strings.Cut(requestTarget(r), "?")
	route, ok := routes.Table.Find(r.Host, path)
	if !ok {
		return routes, nil, &refusal{http.StatusNotFound, 0, "no route"}
	}
	return routes, route, nil
}

// isTooLate reports whether a request that is forwarded now comes too late to be served before this host stops.
func (i *Ingress) isTooLate(route *rule.Rule) bool {
	schedule := i.drain.Load()
	return schedule != nil && schedule.rejects(i.now(), expectedTime(route))
}

// expectedTime returns how long a request of a route is expected to take.
func expectedTime(route *rule.Rule) time.Duration {
	return min(maxExpectedTime, max(minExpectedTime, time.Duration(float64(route.Objective)*expectedTimeRatio)))
}

// parse returns the request without its body, or why it is invalid. Its deadline is that of the caller or of the route,
// whichever is earlier, and counts from the request's arrival.
func (i *Ingress) parse(r *http.Request, route *rule.Rule, arrived time.Time) (origin.Request, *refusal) {
	request := origin.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: r.Header,
		AttemptID: r.Header.Get(i.headers.AttemptID), Arrived: arrived, Deadline: arrived.Add(maxTimeout)}
	if route.Timeout > 0 {
		request.Deadline = arrived.Add(route.Timeout)
	}
	if request.AttemptID == "" || len(r.Header[i.headers.AttemptID]) > 1 {
		return request, &refusal{http.StatusBadRequest, 0, "the request needs one " + i.headers.AttemptID}
	}
	if value := r.Header.Get(i.headers.Deadline); value != "" {
		timeout, err := strconv.ParseInt(value, 10, 64)
		if err != nil || timeout < 0 || timeout > int64(maxTimeout/time.Millisecond) {
			return request, &refusal{http.StatusBadRequest, 0, i.headers.Deadline + " is no number of milliseconds"}
		}
		if deadline := arrived.Add(time.Duration(timeout) * time.Millisecond); deadline.Before(request.Deadline) {
			request.Deadline = deadline
		}
	}
	if value := r.Header.Get(i.headers.Key); value != "" && parseKey(value) == slotrequest.NoKey {
		return request, &refusal{http.StatusBadRequest, 0, i.headers.Key + " is no key"}
	}
	return request, nil
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

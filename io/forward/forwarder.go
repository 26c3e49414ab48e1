// Package forward proxies callers' requests: it selects a service of the route, waits for a slot, sends the request to
// a backend server and retries it at another one if that is safe.
package forward

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/announcements"
	"redwingsill/core/attemptresult"
	"redwingsill/core/directory"
	"redwingsill/core/instance"
	"redwingsill/core/outcome"
	"redwingsill/core/placement"
	"redwingsill/core/rcu"
	"redwingsill/core/roster"
	"redwingsill/core/routing"
	"redwingsill/core/rule"
	"redwingsill/core/slidingbudget"
	"redwingsill/core/slotrequest"
	"redwingsill/core/weighted"
	"redwingsill/io/origin"
	"redwingsill/io/slotclient"
	"redwingsill/io/task"
)

// Forwarder serves callers' requests as the current routing configuration says. It is safe for concurrent use.
type Forwarder struct {
	dataCentre string
	now        func() time.Time
	log        *slog.Logger
	metrics    Metrics
	routing    *rcu.Value[routing.Routing]
	// roster holds the backend servers, and directory the entry hosts.
	roster     *rcu.Value[roster.Roster]
	directory  *rcu.Value[directory.Directory]
	slotClient *slotclient.SlotClient
	origin     *origin.Client
	// selectors holds, by route name, the round-robin over the route's destinations.
	selectors *rcu.Value[map[string]weighted.RoundRobin]
	// budgets holds, by service, this host's part of the retry budget.
	budgets     *rcu.Value[map[string]slidingbudget.Budget]
	retryBudget *rcu.Value[RetryBudget]
	// announcements holds what backend servers have announced in their answers, and onAnnouncement receives more.
	announcements  *rcu.Value[announcements.Announcements]
	onAnnouncement func(requestID string, from instance.Instance, a announcement.Announcement)
	// sending ends when no further attempt may begin.
	sending     context.Context
	stopSending context.CancelFunc
}

// New returns a forwarder for a host in dataCentre. Routes, servers, hosts and announcements are read for each request, so
// that updates apply at once. The function onAnnouncement receives what a backend server's answer says of the server, before
// the answer is passed on.
func New(dataCentre string, retryBudget RetryBudget, routes *rcu.Value[routing.Routing], servers *rcu.Value[roster.Roster],
	hosts *rcu.Value[directory.Directory], announced *rcu.Value[announcements.Announcements],
	onAnnouncement func(requestID string, from instance.Instance, a announcement.Announcement),
	slotClient *slotclient.SlotClient, client *origin.Client, metrics Metrics, now func() time.Time, log *slog.Logger) *Forwarder {
	f := &Forwarder{dataCentre: dataCentre, now: now, log: log, metrics: metrics, routing: routes, roster: servers,
		directory: hosts, slotClient: slotClient, origin: client, selectors: rcu.New(map[string]weighted.RoundRobin{}),
		budgets: rcu.New(map[string]slidingbudget.Budget{}), retryBudget: rcu.New(retryBudget), announcements: announced, onAnnouncement: onAnnouncement}
	f.sending, f.stopSending = context.WithCancel(context.Background())
	return f
}

// Serve serves one request of a route. The key is used only if the service is sharded; it may be [slotrequest.NoKey].
// The deadline is that of the request or of the route's timeout, whichever is earlier. The timeout and the objective count
// from the request's arrival, if that is known. Serve returns the response of the backend server, which must be released when
// it is no longer needed, and no outcome, or, without a response, the outcome [outcome.NotRun] or [outcome.Unknown]. The context
// must be cancelled when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, route *rule.Rule, r origin.Request, key int) (*origin.Response, outcome.Outcome) {
	return f.ServeBy(ctx, route, f.PickService(route), r, key, func() {})
}

// ServeBy is like [Forwarder.Serve] for a service that [Forwarder.PickService] has returned. It calls onSend before each attempt to
// send the request.
func (f *Forwarder) ServeBy(ctx context.Context, route *rule.Rule, service string, r origin.Request, key int,
	onSend func()) (*origin.Response, outcome.Outcome) {
	began := f.now()
	arrived := r.Arrived
	if arrived.IsZero() {
		arrived = began
	}
	f.countRequest(service, began)
	deadline := arrived.Add(route.Timeout)
	if route.Timeout <= 0 || r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	r.Deadline = deadline
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(began))
	defer cancel()
	s := &requestState{route: route, request: r, service: service, key: key, objective: arrived.Add(route.Objective), onSend: onSend}
	response, failure := f.serve(ctx, s)
	f.record(ctx, s, response, failure, f.now().Sub(began))
	return response, failure
}

// serve asks for a slot and sends the request until there is a response or no further attempt is allowed.
func (f *Forwarder) serve(ctx context.Context, s *requestState) (*origin.Response, outcome.Outcome) {
	for {
		s.rounds++
		slot, answer := f.acquire(ctx, s)
		if refused, ok := answer.(placement.Refuse); ok {
			s.refusalReason = refused.Reason
			return f.failureOutcome(ctx, s, refused.RetryAfter)
		}
		s.incarnation = slot.Incarnation
		to, ok := f.findInstance(slot.Incarnation)
		if !ok || !f.mayBeSent(s, to) {
			slot.Release(f.unsentResult(slot.Incarnation))
			s.history.Excluded = f.withUnusable(s.history.Excluded, to, ok, slot.Incarnation)
			if !f.backOff(ctx, s) {
				return f.failureOutcome(ctx, s, max(failureRetryAfter, f.pauseOf(slot.Incarnation)))
			}
			continue
		}
		s.onSend()
		s.request.HasKey = f.keyOf(s) != slotrequest.NoKey // a configuration may have come meanwhile
		response, result, err := f.origin.Send(ctx, to, s.request, f.connectionLimit(s.service))
		if !result.Announcement.IsZero() {
			f.onAnnouncement(s.request.AttemptID, to, result.Announcement)
		}
		slot.Release(result)
		f.countAttempt(s.service, result.Status, err)
		s.history = s.history.WithResult(slot.Incarnation, result.Status)
		s.result, s.err, s.status = result.Status, err, statusOf(response)
		if result.Status == attemptresult.Answered {
			s.releaseFailure()
			return response, nil
		}
		s.keepFailure(response)
		remaining := s.request.Deadline.Sub(f.now())
		if ctx.Err() == nil && s.rounds < maxRounds &&
			s.history.MayRetry(s.route, remaining, minRetryTime, func() bool { return f.takeRetry(s.service) }) {
			if result.Status != attemptresult.NotOwner || f.backOff(ctx, s) {
				continue
			}
		}
		retryAfter := failureRetryAfter
		if f.keyOf(s) != slotrequest.NoKey { // no other server can run it
			retryAfter = max(retryAfter, f.pauseOf(slot.Incarnation))
		}
		return f.failureOutcome(ctx, s, retryAfter)
	}
}

// statusOf returns the HTTP status of a response, or 0 if there is none.
func statusOf(response *origin.Response) int {
	if response == nil {
		return 0
	}
	return response.Status
}

// mayBeSent reports whether a request may be sent to the server of its slot. A server that is leaving gets no requests that
// others can run, and for a while those for its keys. One that has asked for a pause gets none.
func (f *Forwarder) mayBeSent(s *requestState, to instance.Instance) bool {
	return to.AcceptsRequests(f.now()) && (!to.IsLeaving || f.keyOf(s) != slotrequest.NoKey) && f.pauseOf(to.Incarnation()) == 0
}

// pauseOf returns the rest of the pause that a server has asked for, or 0.
func (f *Forwarder) pauseOf(incarnation string) time.Duration {
	return max(0, f.announcements.Read().PausedUntil(incarnation).Sub(f.now()))
}

// unsentResult returns the result for a slot that is given back unused. It tells the host that gave out the slot what the
// server has announced to this host.
func (f *Forwarder) unsentResult(incarnation string) attemptresult.AttemptResult {
	return attemptresult.AttemptResult{Incarnation: incarnation, Status: attemptresult.Unsent, Running: -1, Waiting: -1,
		Announcement: announcement.Announcement{IsLeaving: f.announcements.Read().IsLeaving(incarnation), Pause: f.pauseOf(incarnation)}}
}

// failureOutcome returns the last response that reports a failure and may pass, or the outcome of a request without one.
func (f *Forwarder) failureOutcome(ctx context.Context, s *requestState, retryAfter time.Duration) (*origin.Response, outcome.Outcome) {
	if s.failure != nil {
		return s.failure, nil
	}
	if s.history.MayHaveRun {
		return nil, outcome.Unknown{Reason: s.result.String()}
	}
	reason := string(s.refusalReason)
	if reason == "" {
		reason = s.result.String()
	}
	return nil, outcome.NotRun{Reason: reason, RetryAfter: retryAfter}
}

// backOff waits before the next round, so that a change of owners or instances can reach this host. It returns false if
// no further round is allowed or the context ends.
func (f *Forwarder) backOff(ctx context.Context, s *requestState) bool {
	if s.rounds >= maxRounds {
		return false
	}
	return task.Sleep(ctx, min(baseBackOff<<min(s.rounds, maxBackOffDoublings), maxBackOff))
}

// findInstance returns the current instance of a backend server, and whether it is the given incarnation.
func (f *Forwarder) findInstance(incarnation string) (instance.Instance, bool) {
	servers := f.roster.Read()
	i, ok := servers.Find(instance.IDOf(incarnation))
	return i, ok && i.Incarnation() == incarnation
}

// connectionLimit returns how many connections this host may open to one backend server of a service: an equal share of
// the service's limit, but at least minConnections.
func (f *Forwarder) connectionLimit(service string) int {
	limit := f.routing.Read().Services[service].MaxConnections
	if limit == 0 {
		limit = defaultMaxConnections
	}
	return max(minConnections, limit/max(1, f.directory.Read().Len()))
}

// record updates the metrics, and logs the request if it has no response or needed more than one round.
func (f *Forwarder) record(ctx context.Context, s *requestState, response *origin.Response, failure outcome.Outcome, took time.Duration) {
	name := "Answered"
	if failure != nil {
		name = outcome.Name(failure)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		name = "Left" // the caller has disconnected, or this host is shutting down
	}
	f.metrics.ObserveRequest(s.service, s.route.Rank, name, took)
	if response != nil && s.rounds == 1 {
		return
	}
	f.log.Info("request", "ID", s.request.AttemptID, "Outcome", name, "Route", s.route.Name, "Service", s.service, "Key", s.key,
		"Rank", s.route.Rank, "Server", s.incarnation, "Result", s.result.String(), "Status", s.status, "Refused", string(s.refusalReason), "Rounds", s.rounds,
		"Sent", s.history.Sent, "Configuration", f.routing.Read().Version, "Took", took, "Error", s.err)
}

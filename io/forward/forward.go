// Package forward serves callers' requests: it finds the service, waits for a slot, sends the request to a backend server
// and, where that is safe, to another one.
package forward

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

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

// Forward serves requests by what discovery and the configuration say. Its methods may be called at the same time.
type Forward struct {
	dataCentre string
	now        func() time.Time
	log        *slog.Logger
	figures    Figures
	routing    *rcu.Value[routing.Routing]
	roster     *rcu.Value[roster.Roster]
	directory  *rcu.Value[directory.Directory]
	dispatch   *slotclient.SlotClient
	origin     *origin.Origin
	turns      *rcu.Value[map[string]weighted.RoundRobin]
	budgets    *rcu.Value[map[string]slidingbudget.Budget]
	allowance  *rcu.Value[Allowance]
}

// New returns a forwarder of a host in a data centre.
func New(dataCentre string, allowance Allowance, routes *rcu.Value[routing.Routing], servers *rcu.Value[roster.Roster],
	hosts *rcu.Value[directory.Directory], d *slotclient.SlotClient, o *origin.Origin, figures Figures, now func() time.Time,
	log *slog.Logger) *Forward {
	return &Forward{dataCentre: dataCentre, now: now, log: log, figures: figures, routing: routes, roster: servers,
		directory: hosts, dispatch: d, origin: o, turns: rcu.New(map[string]weighted.RoundRobin{}),
		budgets: rcu.New(map[string]slidingbudget.Budget{}), allowance: rcu.New(allowance)}
}

// SetAllowance replaces the bounds on repeats.
func (f *Forward) SetAllowance(a Allowance) {
	f.allowance.Store(a)
	f.budgets.Store(map[string]slidingbudget.Budget{})
}

// Serve serves one request by a route. The key is that of a divided service or [slotrequest.NoKey]. It returns the backend
// server's answer, or why there is none. The context ends when the caller leaves.
func (f *Forward) Serve(ctx context.Context, of *rule.Rule, r origin.Request, key int) (*origin.Answer, outcome.Outcome) {
	began := f.now()
	service := f.pick(of)
	f.count(service, began)
	until := began.Add(of.Timeout)
	if of.Timeout <= 0 || r.Deadline.Before(until) {
		until = r.Deadline
	}
	r.Deadline = until
	ctx, cancel := context.WithTimeout(ctx, until.Sub(began))
	defer cancel()
	s := &served{rule: of, request: r, service: service, key: key, objective: began.Add(of.Objective)}
	answer, end := f.serve(ctx, s)
	f.tell(ctx, s, answer, end, f.now().Sub(began))
	return answer, end
}

func (f *Forward) serve(ctx context.Context, s *served) (*origin.Answer, outcome.Outcome) {
	for {
		s.rounds++
		slot, placed := f.dispatch.Place(ctx, f.ask(s))
		if refused, ok := placed.(placement.Refuse); ok {
			s.refused = refused.Reason
			return f.end(ctx, s, refused.RetryAfter)
		}
		s.life = slot.Life
		to, ok := f.find(slot.Life)
		if !ok || !to.IsOpen(f.now()) {
			slot.Done(attemptresult.AttemptResult{Incarnation: slot.Life, Status: attemptresult.Unsent, Running: -1, Waiting: -1})
			s.attempt.Excluded = append(s.attempt.Excluded, slot.Life)
			if !f.pause(ctx, s) {
				return f.end(ctx, s, shortRetry)
			}
			continue
		}
		answer, told, err := f.origin.Send(ctx, to, s.request, f.limit(s.service))
		slot.Done(told)
		f.figures.Attempt(s.service, told.Status)
		s.attempt = s.attempt.WithResult(slot.Life, told.Status)
		s.result, s.err = told.Status, err
		if told.Status == attemptresult.Answered {
			return answer, nil
		}
		left := s.request.Deadline.Sub(f.now())
		if ctx.Err() == nil && s.rounds < mostRounds &&
			s.attempt.MayRetry(s.rule, left, leastTime, func() bool { return f.draw(s.service) }) {
			if told.Status != attemptresult.NotOwner || f.pause(ctx, s) {
				continue
			}
		}
		if answer != nil && isPassedOn(answer, told.Status, s.rule) {
			return answer, nil
		}
		return f.end(ctx, s, shortRetry)
	}
}

// isPassedOn reports whether a failure of the backend server's goes to the caller as it is. A status that promises that
// nothing ran is passed on only where it is true.
func isPassedOn(a *origin.Answer, result attemptresult.Status, of *rule.Rule) bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return result == attemptresult.Failed
}

// end returns the outcome of a request that has no answer.
func (f *Forward) end(ctx context.Context, s *served, retryAfter time.Duration) (*origin.Answer, outcome.Outcome) {
	if s.attempt.MayHaveRun {
		return nil, outcome.Unknown{Reason: s.result.String()}
	}
	reason := string(s.refused)
	if reason == "" {
		reason = s.result.String()
	}
	return nil, outcome.NotRun{Reason: reason, RetryAfter: retryAfter}
}

// pause waits a little for the owners of keys to be known, and reports whether there is time left.
func (f *Forward) pause(ctx context.Context, s *served) bool {
	if s.rounds >= mostRounds {
		return false
	}
	return task.Sleep(ctx, min(ownerPause<<min(s.rounds, 5), ownerPauseMost))
}

func (f *Forward) ask(s *served) slotrequest.SlotRequest {
	key := slotrequest.NoKey
	if f.routing.Read().Services[s.service].IsSharded {
		key = s.key
	}
	a := slotrequest.SlotRequest{DataCentre: f.dataCentre, Service: s.service, Key: key, Rank: s.rule.Rank, Objective: s.objective,
		Deadline: s.request.Deadline, IsRetry: s.rounds > 1, IsIdempotent: s.rule.IsIdempotent}
	if key == slotrequest.NoKey {
		a.Excluded = s.attempt.Excluded
	}
	return a
}

func (f *Forward) find(life string) (instance.Instance, bool) {
	servers := f.roster.Read()
	i, ok := servers.Find(instance.IDOf(life))
	return i, ok && i.Incarnation() == life
}

// limit returns how many connections this host may have to one backend server of a service.
func (f *Forward) limit(service string) int {
	most := f.routing.Read().Services[service].MaxConnections
	if most == 0 {
		most = defaultConnections
	}
	return max(leastConnections, most/max(1, f.directory.Read().Len()))
}

// pick returns the service that a request of a route goes to.
func (f *Forward) pick(of *rule.Rule) string {
	if len(of.Destinations) == 1 {
		return of.Destinations[0].Service
	}
	picked := ""
	f.turns.Update(func(old map[string]weighted.RoundRobin) map[string]weighted.RoundRobin {
		next := maps.Clone(old)
		t, ok := next[of.Name]
		if !ok || !t.Matches(of.Destinations) {
			t = weighted.New(of.Destinations, rand.Float64())
		}
		picked, next[of.Name] = t.Next()
		return next
	})
	return picked
}

func (f *Forward) budget(service string, step func(slidingbudget.Budget) slidingbudget.Budget) {
	f.budgets.Update(func(old map[string]slidingbudget.Budget) map[string]slidingbudget.Budget {
		next := maps.Clone(old)
		b, ok := next[service]
		if !ok {
			a := f.allowance.Read()
			b = slidingbudget.New(a.Window, a.Ratio*ratioPart, a.Extra/float64(max(1, f.directory.Read().Len())))
		}
		next[service] = step(b)
		return next
	})
}

func (f *Forward) count(service string, now time.Time) {
	f.budget(service, func(b slidingbudget.Budget) slidingbudget.Budget { return b.WithRequest(now) })
}

// draw takes one repeat from the service's budget, if there is one.
func (f *Forward) draw(service string) bool {
	ok := false
	now := f.now()
	f.budget(service, func(b slidingbudget.Budget) slidingbudget.Budget {
		b, ok = b.WithRetry(now)
		return b
	})
	return ok
}

// tell counts a request and logs one that was not answered, or only after repeats.
func (f *Forward) tell(ctx context.Context, s *served, answer *origin.Answer, end outcome.Outcome, took time.Duration) {
	name := "Answered"
	if end != nil {
		name = outcome.Name(end)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		name = "Left"
	}
	f.figures.Request(s.service, s.rule.Rank, name, took)
	if answer != nil && s.rounds == 1 {
		return
	}
	f.log.Info("request", "ID", s.request.Attempt, "Outcome", name, "Route", s.rule.Name, "Service", s.service, "Key", s.key,
		"Rank", s.rule.Rank, "Server", s.life, "Result", s.result.String(), "Refused", string(s.refused), "Rounds", s.rounds,
		"Sent", s.attempt.Sent, "Configuration", f.routing.Read().Version, "Took", took, "Error", s.err)
}

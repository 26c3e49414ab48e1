package flood

import (
	"fmt"
	"math/rand/v2"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/lease"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/timeline"
)

const (
	// warmUpTime passes before the measurement window, and drainTime after it, so that open requests can finish.
	warmUpTime        = 2 * time.Second
	measurementWindow = 6 * time.Second
	drainTime         = 4 * time.Second
	// retryDelay is the time after which a refused request is sent again, and maxRetries bounds the retries of one request.
	retryDelay = 5 * time.Millisecond
	maxRetries = 5
	// shedDelay is the time after which a backend server's refusal of a request arrives.
	shedDelay = 2 * time.Millisecond
	// sendingHosts is the number of entry hosts that send under [everyHostSends].
	sendingHosts = 4
	// callerCount is the number of callers among which requests are divided at random.
	callerCount = 20
)

// fleet simulates all dispatchers and backend servers of a deployment in one run.
type fleet struct {
	*timeline.Timeline
	deployment  deployment
	policy      policy
	phase       phase
	random      *rand.Rand
	dispatchers []*dispatcher
	stats       map[string]*rankStats
	// pending holds the requests without an outcome, by ticket.
	pending    map[uint64]pendingRequest
	lastTicket uint64
	// serviceTimeSum and serviceTimeCount are the sum and the number of all drawn service times.
	serviceTimeSum   time.Duration
	serviceTimeCount int
	windowStart      time.Time
	windowEnd        time.Time
}

// newFleet returns a fleet with one dispatcher for each backend server, or with [sendingHosts] for each under [everyHostSends].
func newFleet(d deployment, p policy, ph phase, seed uint64) *fleet {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &fleet{Timeline: timeline.New(start), deployment: d, policy: p, phase: ph, random: rand.New(rand.NewPCG(seed, 3)),
		stats: map[string]*rankStats{}, pending: map[uint64]pendingRequest{}}
	senders := 1
	if _, ok := p.(everyHostSends); ok {
		senders = sendingHosts
	}
	for i := range d.servers {
		b := &fakeBackend{slots: d.slots}
		for range senders {
			f.dispatchers = append(f.dispatchers, newDispatcher(fmt.Sprintf("%s-%d", d.name, i+1), d, p, b, start))
		}
	}
	for _, r := range d.ranks {
		f.stats[r.Name] = newRankStats()
	}
	return f
}

// run simulates warm-up, measurement window and drain under the load of the phase.
func (f *fleet) run() {
	f.windowStart, f.windowEnd = f.Now().Add(warmUpTime), f.Now().Add(warmUpTime+measurementWindow)
	for i, s := range f.deployment.streams {
		f.scheduleArrival(s, f.loadOf(i, s)*f.nominalRate())
	}
	f.scheduleTick()
	if f.phase.losesServer {
		f.After(warmUpTime+measurementWindow/2, f.loseServer)
	}
	f.Advance(warmUpTime + measurementWindow + drainTime)
}

// loadOf returns the offered load of the i-th stream in the phase, as a multiple of the capacity.
func (f *fleet) loadOf(i int, s stream) float64 {
	switch {
	case i == 0 && f.phase.urgentLoad > 0:
		return f.phase.urgentLoad
	case i == len(f.deployment.streams)-1 && f.phase.lowestLoad > 0:
		return f.phase.lowestLoad
	}
	return s.load
}

// nominalRate returns the requests per second that the fleet can serve at the mean service time.
func (f *fleet) nominalRate() float64 {
	return float64(f.deployment.servers*f.deployment.slots) / f.deployment.meanServiceTime.Seconds()
}

// scheduleArrival schedules the requests of a stream, until the end of the measurement window. They arrive as a Poisson process
// with a rate in requests per second.
func (f *fleet) scheduleArrival(s stream, rate float64) {
	gap := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.After(gap, func() {
		if f.Now().After(f.windowEnd) {
			return
		}
		f.submitNew(s)
		f.scheduleArrival(s, rate)
	})
}

// submitNew creates a request of a stream, counts it as offered if it arrives in the measurement window, and submits it.
func (f *fleet) submitNew(s stream) {
	rank := f.rankByName(s.rank)
	r := request.Request{Service: f.deployment.name, Rank: s.rank, Caller: fmt.Sprintf("caller-%d", f.random.IntN(callerCount)),
		Deadline: f.Now().Add(rank.Target.Std())}
	next := pendingRequest{stream: s, arrivedAt: f.Now(), request: r, isCounted: !f.Now().Before(f.windowStart)}
	if next.isCounted {
		f.stats[s.rank].offered++
	}
	f.submit(next)
}

// submit passes a request to a random dispatcher whose server is not lost, or, if the request may run twice, to the less
// loaded of two.
func (f *fleet) submit(next pendingRequest) {
	n := len(f.dispatchers)
	chosen := f.dispatchers[f.random.IntN(n)]
	for chosen.isLost {
		chosen = f.dispatchers[f.random.IntN(n)]
	}
	if other := f.dispatchers[f.random.IntN(n)]; !next.stream.runsOnce && !other.isLost && other.load() < chosen.load() {
		chosen = other
	}
	f.lastTicket++
	next.attempts++
	f.pending[f.lastTicket] = next
	f.perform(chosen, chosen.step(event.Submitted{Server: chosen.name, Ticket: f.lastTicket, Request: next.request}, f.Now()))
}

// perform carries out a dispatcher's effects on its backend server.
func (f *fleet) perform(d *dispatcher, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Run:
			if d.backend.running >= d.backend.slots {
				f.After(shedDelay, func() {
					f.perform(d, d.step(event.AttemptFinished{Server: d.name, Ticket: e.Ticket, Outcome: outcome.NotRun{Reason: "shed"}, Shed: true}, f.Now()))
				})
				continue
			}
			d.backend.running++
			f.After(f.drawServiceTime(), func() {
				d.backend.running--
				var o outcome.Outcome = outcome.Answered{}
				if d.isLost {
					o = outcome.Unknown{Reason: "lost"}
				}
				f.perform(d, d.step(event.AttemptFinished{Server: d.name, Ticket: e.Ticket, Outcome: o}, f.Now()))
			})
		case effect.CompleteRequest:
			f.handleOutcome(e)
		default:
		}
	}
}

// handleOutcome retries a request or records its outcome. Answers are recorded if they arrive in the measurement window, other
// outcomes if the request did.
func (f *fleet) handleOutcome(completion effect.CompleteRequest) {
	p, ok := f.pending[completion.Ticket]
	if !ok {
		return
	}
	delete(f.pending, completion.Ticket)
	if f.shouldRetry(completion.Outcome, p) {
		f.After(retryDelay, func() { f.submit(p) })
		return
	}
	_, answered := completion.Outcome.(outcome.Answered)
	if inWindow := !f.Now().Before(f.windowStart) && !f.Now().After(f.windowEnd); answered && inWindow || !answered && p.isCounted {
		f.stats[p.stream.rank].record(completion.Outcome, f.Now().Sub(p.arrivedAt), f.rankByName(p.stream.rank).Target.Std())
	}
}

// shouldRetry reports whether a refused request is sent again. As in package gateway, only refusals because the owner of the
// key has moved are retried; under [freeRetries] all are. A request is retried at most [maxRetries] times, and only before
// its deadline.
func (f *fleet) shouldRetry(o outcome.Outcome, p pendingRequest) bool {
	refused, ok := o.(outcome.NotRun)
	if !ok || p.attempts > maxRetries || f.Now().Add(retryDelay).After(p.request.Deadline) {
		return false
	}
	_, isFree := f.policy.(freeRetries)
	return refused.Moved || isFree
}

// drawServiceTime draws a service time. Half of its mean is constant and half is exponentially distributed.
func (f *fleet) drawServiceTime() time.Duration {
	d := time.Duration(float64(f.deployment.meanServiceTime) * (0.5 + f.random.ExpFloat64()/2))
	f.serviceTimeSum += d
	f.serviceTimeCount++
	return d
}

// scheduleTick delivers a timer event to every dispatcher each 100 ms.
func (f *fleet) scheduleTick() {
	f.After(100*time.Millisecond, func() {
		for _, d := range f.dispatchers {
			f.perform(d, d.step(event.Ticked{Server: d.name}, f.Now()))
		}
		f.scheduleTick()
	})
}

// loseServer removes the first backend server: its lease ends and its queued requests are refused as moved, as after the
// monitoring system declares a server down.
func (f *fleet) loseServer() {
	lostBackend := f.dispatchers[0].backend
	for _, d := range f.dispatchers {
		if d.backend != lostBackend {
			continue
		}
		d.isLost = true
		f.perform(d, d.step(event.LeaseChanged{Server: d.name, Lease: lease.Lease{}}, f.Now()))
		for _, q := range d.queue {
			f.handleOutcome(effect.CompleteRequest{Ticket: q.ticket, Outcome: outcome.NotRun{Moved: true}})
		}
		d.queue = nil
	}
}

// rankByName returns the rank with the given name, or a zero rank if the deployment has none.
func (f *fleet) rankByName(name string) resource.Rank {
	for _, r := range f.deployment.ranks {
		if r.Name == name {
			return r
		}
	}
	return resource.Rank{}
}

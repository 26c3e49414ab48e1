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

// The lengths of one run.
const (
	warmUp     = 2 * time.Second
	counted    = 6 * time.Second
	drain      = 4 * time.Second
	retryPause = 5 * time.Millisecond
	maxRetries = 5
	shedTime   = 2 * time.Millisecond
	// sendingHosts is the number of entry hosts of a data centre that send where every host sends.
	sendingHosts = 4
)

// fleet is the stations of a deployment in one run.
type fleet struct {
	*timeline.Timeline
	deployment deployment
	policy     policy
	phase      phase
	random     *rand.Rand
	stations   []*station
	figures    map[string]*figures
	tickets    map[uint64]sent
	ticket     uint64
	// drawn is the sum of all times of service, and draws their number.
	drawn     time.Duration
	draws     int
	countFrom time.Time
	countTo   time.Time
}

func newFleet(d deployment, p policy, ph phase, seed uint64) *fleet {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &fleet{Timeline: timeline.New(start), deployment: d, policy: p, phase: ph, random: rand.New(rand.NewPCG(seed, 3)),
		figures: map[string]*figures{}, tickets: map[uint64]sent{}}
	senders := 1
	if _, ok := p.(everyHostSends); ok {
		senders = sendingHosts
	}
	for i := range d.servers {
		b := &backend{slots: d.slots}
		for range senders {
			f.stations = append(f.stations, newStation(fmt.Sprintf("%s-%d", d.name, i+1), d, p, b, start))
		}
	}
	for _, r := range d.ranks {
		f.figures[r.Name] = newFigures()
	}
	return f
}

// run sends the load of the phase.
func (f *fleet) run() {
	f.countFrom, f.countTo = f.Now().Add(warmUp), f.Now().Add(warmUp+counted)
	for i, s := range f.deployment.streams {
		f.feed(s, f.shareOf(i, s)*f.capacity())
	}
	f.tick()
	if f.phase.loses {
		f.After(warmUp+counted/2, f.loseServer)
	}
	f.Run(warmUp + counted + drain)
}

// shareOf returns the load of a stream as a share of the capacity in the phase.
func (f *fleet) shareOf(i int, s stream) float64 {
	switch {
	case i == 0 && f.phase.urgent > 0:
		return f.phase.urgent
	case i == len(f.deployment.streams)-1 && f.phase.lowest > 0:
		return f.phase.lowest
	}
	return s.share
}

// capacity returns the requests per second that the fleet can serve.
func (f *fleet) capacity() float64 {
	return float64(f.deployment.servers*f.deployment.slots) / f.deployment.mean.Seconds()
}

func (f *fleet) feed(s stream, rate float64) {
	gap := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.After(gap, func() {
		if f.Now().After(f.countTo) {
			return
		}
		f.arrive(s)
		f.feed(s, rate)
	})
}

func (f *fleet) arrive(s stream) {
	rank := f.rank(s.rank)
	r := request.Request{Service: f.deployment.name, Rank: s.rank, Caller: fmt.Sprintf("caller-%d", f.random.IntN(20)),
		Deadline: f.Now().Add(rank.Target.Std())}
	next := sent{stream: s, arrived: f.Now(), request: r, counts: !f.Now().Before(f.countFrom)}
	if next.counts {
		f.figures[s.rank].offered++
	}
	f.submit(next)
}

// submit sends a request to a station: the one that its id decides, or the less loaded of two.
func (f *fleet) submit(next sent) {
	n := len(f.stations)
	chosen := f.stations[f.random.IntN(n)]
	for chosen.isLost {
		chosen = f.stations[f.random.IntN(n)]
	}
	if other := f.stations[f.random.IntN(n)]; !next.stream.once && !other.isLost && other.load() < chosen.load() {
		chosen = other
	}
	f.ticket++
	next.tries++
	f.tickets[f.ticket] = next
	f.perform(chosen, chosen.step(event.Submitted{Server: chosen.name, Ticket: f.ticket, Request: next.request}, f.Now()))
}

func (f *fleet) perform(s *station, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Run:
			if s.backend.running >= s.backend.slots {
				f.After(shedTime, func() {
					f.perform(s, s.step(event.AttemptFinished{Server: s.name, Ticket: e.Ticket, Outcome: outcome.NotRun{Reason: "shed"}, Shed: true}, f.Now()))
				})
				continue
			}
			s.backend.running++
			f.After(f.serviceTime(), func() {
				s.backend.running--
				var o outcome.Outcome = outcome.Answered{}
				if s.isLost {
					o = outcome.Unknown{Reason: "lost"}
				}
				f.perform(s, s.step(event.AttemptFinished{Server: s.name, Ticket: e.Ticket, Outcome: o}, f.Now()))
			})
		case effect.CompleteRequest:
			f.told(e)
		default:
		}
	}
}

func (f *fleet) told(t effect.CompleteRequest) {
	s, ok := f.tickets[t.Ticket]
	if !ok {
		return
	}
	delete(f.tickets, t.Ticket)
	if f.triesAgain(t.Outcome, s) {
		f.After(retryPause, func() { f.submit(s) })
		return
	}
	_, answered := t.Outcome.(outcome.Answered)
	if inWindow := !f.Now().Before(f.countFrom) && !f.Now().After(f.countTo); answered && inWindow || !answered && s.counts {
		f.figures[s.stream.rank].add(t.Outcome, f.Now().Sub(s.arrived), f.rank(s.stream.rank).Target.Std())
	}
}

// triesAgain reports whether a refused request is sent again: where its owner moved, as a gateway does, or always under
// free retries.
func (f *fleet) triesAgain(o outcome.Outcome, s sent) bool {
	refused, ok := o.(outcome.NotRun)
	if !ok || s.tries > maxRetries || f.Now().Add(retryPause).After(s.request.Deadline) {
		return false
	}
	_, isFree := f.policy.(freeRetries)
	return refused.Moved || isFree
}

// serviceTime draws the time of one request: half of it fixed, half exponential.
func (f *fleet) serviceTime() time.Duration {
	d := time.Duration(float64(f.deployment.mean) * (0.5 + f.random.ExpFloat64()/2))
	f.drawn += d
	f.draws++
	return d
}

func (f *fleet) tick() {
	f.After(100*time.Millisecond, func() {
		for _, s := range f.stations {
			f.perform(s, s.step(event.Ticked{Server: s.name}, f.Now()))
		}
		f.tick()
	})
}

// loseServer takes one station out, as after a verdict.
func (f *fleet) loseServer() {
	lost := f.stations[0].backend
	for _, s := range f.stations {
		if s.backend != lost {
			continue
		}
		s.isLost = true
		f.perform(s, s.step(event.LeaseChanged{Server: s.name, Lease: lease.Lease{}}, f.Now()))
		for _, q := range s.line {
			f.told(effect.CompleteRequest{Ticket: q.ticket, Outcome: outcome.NotRun{Moved: true}})
		}
		s.line = nil
	}
}

func (f *fleet) rank(name string) resource.Rank {
	for _, r := range f.deployment.ranks {
		if r.Name == name {
			return r
		}
	}
	return resource.Rank{}
}

package leaseholder_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/assignment"
	"redwingsill/core/dedupentry"
	"redwingsill/core/duration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/leaseholder"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
	"redwingsill/core/release"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/timing"
	"redwingsill/core/unit"
)

func TestLeaseHolder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "LeaseHolder")
}

const (
	server        = "inventario-1"
	service       = "inventario"
	leaseDuration = 3 * time.Second
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture steps one lease holder with a manual clock.
type fixture struct {
	holder       leaseholder.LeaseHolder
	now          time.Time
	ticket       uint64
	outcomes     map[uint64]outcome.Outcome
	runs         []effect.Run
	otherEffects []effect.Effect
}

func newFixture(slots int) *fixture {
	f := newFixtureWithoutLease(slots)
	f.grantLease(1, leaseDuration)
	return f
}

func newFixtureWithoutLease(slots int) *fixture {
	ranks := []resource.Rank{
		{Name: "urgent", Urgency: 0, QueueLimit: 3},
		{Name: "middle", Urgency: 1, QueueLimit: 100, Floor: 0.2},
		{Name: "patient", Urgency: 2, QueueLimit: 100, Floor: 0.1},
	}
	f := &fixture{now: start, outcomes: map[uint64]outcome.Outcome{}}
	f.holder = leaseholder.New(resource.BackendServer{Name: server, Service: service, Slots: slots, Connections: 10},
		resource.Service{Name: service, MaxAttempt: duration.Of(time.Second)}, ranks, timing.Default())
	f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(1, server)})
	return f
}

// newAssignment returns an assignment of four hash slots to the servers in turn.
func newAssignment(version int64, servers ...string) assignment.Assignment {
	a := assignment.Assignment{Term: 1, Version: version}
	for hashSlot := range 4 {
		a = a.WithOwner(unit.Unit{Service: service, HashSlot: hashSlot}, servers[hashSlot%len(servers)])
	}
	return a
}

func (f *fixture) grantLease(generation int64, length time.Duration) {
	g := grant.Grant{Term: 1, Generation: generation}
	f.step(event.LeaseChanged{Server: server, Lease: lease.Lease{Server: server, Grant: g, Origin: g}.WithExpiry(f.now.Add(length))})
}

func (f *fixture) step(e event.Event) {
	var effects []effect.Effect
	f.holder, effects = f.holder.Step(e, f.now)
	for _, out := range effects {
		switch out := out.(type) {
		case effect.CompleteRequest:
			Expect(f.outcomes).NotTo(HaveKey(out.Ticket), "a request was completed twice")
			f.outcomes[out.Ticket] = out.Outcome
		case effect.Run:
			f.runs = append(f.runs, out)
		default:
			f.otherEffects = append(f.otherEffects, out)
		}
	}
}

func (f *fixture) submit(r request.Request, timeout time.Duration) uint64 {
	f.ticket++
	r.Service = service
	if r.Rank == "" {
		r.Rank = "middle"
	}
	f.step(event.Submitted{Server: server, Ticket: f.ticket, Request: r.WithDeadline(f.now.Add(timeout))})
	return f.ticket
}

func (f *fixture) finish(ticket uint64, o outcome.Outcome) {
	f.step(event.AttemptFinished{Server: server, Ticket: ticket, Outcome: o})
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.step(event.Ticked{Server: server})
}

// warmUp ends the cold start of a server with up to 8 slots: it completes a request of 10 ms every 20 ms until the lease
// expires, and then renews the lease.
func (f *fixture) warmUp() {
	for range 200 {
		f.now = f.now.Add(10 * time.Millisecond)
		ticket := f.submit(request.Request{}, time.Second)
		f.now = f.now.Add(10 * time.Millisecond)
		f.finish(ticket, outcome.Answered{})
	}
	f.runs, f.outcomes = nil, map[uint64]outcome.Outcome{}
	f.grantLease(1, leaseDuration)
}

var answered = outcome.Answered{Status: 200, Body: []byte("done")}

var _ = Describe("deduplicated requests", func() {
	newRequest := func(f *fixture) request.Request {
		return request.Request{ID: "id-1", Key: "k", IssuedAt: f.now}
	}

	It("are answered with the stored response when repeated", func() {
		f := newFixture(2)
		f.advance(200 * time.Millisecond)
		r := newRequest(f)
		first := f.submit(r, time.Second)
		f.finish(first, answered)
		second := f.submit(r, time.Second)
		Expect(f.runs).To(HaveLen(1))
		Expect(f.outcomes[second]).To(Equal(outcome.Answered{Status: 200, Body: []byte("done"), IsReplayed: true}))
	})

	It("get the outcome of the running request when repeated", func() {
		f := newFixture(2)
		f.advance(200 * time.Millisecond)
		r := newRequest(f)
		first, second := f.submit(r, time.Second), f.submit(r, time.Second)
		f.finish(first, answered)
		Expect(f.runs).To(HaveLen(1))
		Expect(f.outcomes[first]).To(Equal(answered))
		Expect(f.outcomes[second]).To(Equal(answered))
	})

	It("may run again after NotRun", func() {
		f := newFixture(2)
		f.advance(200 * time.Millisecond)
		r := newRequest(f)
		first := f.submit(r, 40*time.Millisecond)
		f.now = f.now.Add(25 * time.Millisecond)
		f.finish(first, outcome.NotRun{Reason: "refused"})
		Expect(f.outcomes[first]).To(BeAssignableToTypeOf(outcome.NotRun{}))
		f.submit(r, time.Second)
		Expect(f.runs).To(HaveLen(2))
	})

	DescribeTable("never run again", func(happens func(f *fixture, ticket uint64)) {
		f := newFixture(2)
		f.advance(200 * time.Millisecond)
		r := newRequest(f)
		first := f.submit(r, time.Second)
		Expect(f.runs).To(HaveLen(1))
		happens(f, first)
		again := f.submit(r, time.Second)
		Expect(f.runs).To(HaveLen(1))
		Expect(f.outcomes[again]).To(BeAssignableToTypeOf(outcome.Unknown{}))
	},
		Entry("after a lost response", func(f *fixture, t uint64) { f.finish(t, outcome.Unknown{}) }),
		Entry("after a new lease with an empty dedup table", func(f *fixture, t uint64) {
			f.finish(t, answered)
			f.grantLease(2, leaseDuration)
		}),
		Entry("after its dedup entry has expired", func(f *fixture, t uint64) {
			f.finish(t, answered)
			f.advance(timing.Default().OutcomeRetention + time.Second)
			f.grantLease(1, leaseDuration)
		}),
		Entry("after its unit left the server and came back", func(f *fixture, t uint64) {
			f.finish(t, outcome.Unknown{})
			f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(2, "inventario-2")})
			f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(3, server)})
		}),
	)

	It("get an unknown outcome if they may have run on another server", func() {
		f := newFixture(2)
		f.advance(500 * time.Millisecond)
		f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(2, "inventario-2")})
		r := newRequest(f)
		f.advance(time.Second)
		f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(3, server)})
		ticket := f.submit(r, time.Second)
		Expect(f.outcomes[ticket]).To(BeAssignableToTypeOf(outcome.Unknown{}))
	})

	DescribeTable("get an unknown outcome if their key has moved away and back", func(moveAway func(f *fixture, hot unit.Unit)) {
		f := newFixture(2)
		f.advance(500 * time.Millisecond)
		hash := unit.HashKey("hot")
		hot := unit.Unit{Service: service, HashSlot: int(hash % 4), KeyHash: hash}
		moveAway(f, hot)
		r := request.Request{ID: "id-1", Key: "hot", IssuedAt: f.now}
		f.advance(time.Second)
		f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(3, server)})
		Expect(f.outcomes[f.submit(r, time.Second)]).To(BeAssignableToTypeOf(outcome.Unknown{}))
	},
		Entry("in an assignment that this host received", func(f *fixture, hot unit.Unit) {
			next := newAssignment(2, server)
			f.step(event.AssignmentChanged{Server: server, Assignment: next.WithOwner(hot, "inventario-2")})
		}),
		Entry("in an assignment that this host never received", func(f *fixture, hot unit.Unit) {
			f.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, Units: []unit.Unit{hot}, Term: 1, Version: 1}})
		}),
	)

	It("run at once if the server was idle since before the ID was issued", func() {
		f := newFixture(2)
		f.advance(2 * time.Second)
		issued := f.now
		f.now = f.now.Add(300 * time.Millisecond)
		g := grant.Grant{Term: 1, Generation: 2}
		f.step(event.LeaseChanged{Server: server, Lease: lease.Lease{Server: server, Grant: g, Origin: g,
			Idle: 600 * time.Millisecond}.WithExpiry(f.now.Add(leaseDuration))})
		f.submit(request.Request{ID: "id-2", Key: "k", IssuedAt: issued}, time.Second)
		Expect(f.runs).To(HaveLen(1))
	})
})

var _ = Describe("a lease", func() {
	It("is checked at each use, even after a pause", func() {
		f := newFixture(2)
		f.now = f.now.Add(leaseDuration)
		ticket := f.submit(request.Request{Key: "k"}, time.Second)
		Expect(f.outcomes[ticket]).To(BeAssignableToTypeOf(outcome.NotRun{}))
		Expect(f.runs).To(BeEmpty())
	})

	It("bounds the deadline of every attempt", func() {
		f := newFixture(2)
		f.now = f.now.Add(leaseDuration - 100*time.Millisecond)
		f.submit(request.Request{Key: "k"}, time.Second)
		Expect(f.runs[0].Deadline).To(Equal(start.Add(leaseDuration)))
	})

	It("completes queued requests with NotRun when it expires", func() {
		f := newFixture(1)
		f.submit(request.Request{Key: "a"}, 10*time.Second)
		waiting := f.submit(request.Request{Key: "b"}, 10*time.Second)
		f.advance(leaseDuration + time.Millisecond)
		Expect(f.outcomes[waiting]).To(Equal(outcome.NotRun{Reason: server + " has moved", Moved: true}))
	})

	It("is ignored if it is older than the current one", func() {
		f := newFixture(2)
		f.grantLease(3, leaseDuration)
		f.grantLease(2, 2*leaseDuration)
		Expect(f.holder.Lease().Grant.Generation).To(Equal(int64(3)))
	})
})

var _ = Describe("a release", func() {
	units := []unit.Unit{{Service: service, HashSlot: 0}, {Service: service, HashSlot: 1}, {Service: service, HashSlot: 2}, {Service: service, HashSlot: 3}}

	It("waits for running requests, refuses queued and new ones, and then reports once", func() {
		f := newFixture(1)
		running := f.submit(request.Request{Key: "a"}, time.Second)
		waiting := f.submit(request.Request{Key: "b"}, time.Second)
		r := release.Release{ID: 7, Server: server, Units: units}
		f.step(event.ReleaseRequested{Release: r})
		Expect(f.outcomes[waiting]).To(HaveField("Moved", true))
		Expect(f.otherEffects).To(BeEmpty())
		late := f.submit(request.Request{Key: "c"}, time.Second)
		Expect(f.outcomes[late]).To(HaveField("Moved", true))
		f.finish(running, answered)
		Expect(f.otherEffects).To(Equal([]effect.Effect{effect.NotifyMember{Event: event.Released{Release: r}}}))
	})

	It("waits for an attempt without a response until the server must have stopped it", func() {
		f := newFixture(1)
		running := f.submit(request.Request{Key: "a"}, 5*time.Second)
		f.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, Units: units}})
		f.now = f.now.Add(500 * time.Millisecond)
		f.finish(running, outcome.Unknown{})
		Expect(f.otherEffects).To(BeEmpty())
		f.advance(500 * time.Millisecond)
		Expect(f.otherEffects).To(BeEmpty())
		f.advance(timing.Default().ClockSkew + time.Millisecond)
		Expect(f.otherEffects).To(HaveLen(1))
	})

	It("of units lasts until an assignment newer than the release", func() {
		f := newFixture(1)
		f.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, Units: units, Term: 1, Version: 3}})
		f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(3, server)})
		late := f.submit(request.Request{Key: "a"}, time.Second)
		Expect(f.outcomes[late]).To(HaveField("Moved", true))
		f.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(4, server)})
		f.submit(request.Request{Key: "a"}, time.Second)
		Expect(f.runs).To(HaveLen(1))
	})

	It("of the whole server hands over the dedup entries and ends the lease", func() {
		f := newFixture(1)
		f.advance(200 * time.Millisecond)
		ticket := f.submit(request.Request{ID: "id-1", Key: "k", IssuedAt: f.now}, time.Second)
		f.finish(ticket, answered)
		f.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: "ilo-2"}})
		Expect(f.otherEffects).To(HaveLen(1))
		handed := f.otherEffects[0].(effect.HandOver).Adopt
		Expect(handed.Entries).To(HaveLen(1))
		Expect(handed.CoveredUnits).To(HaveLen(4))
		f.grantLease(1, leaseDuration)
		Expect(f.holder.Lease().IsValid(f.now)).To(BeFalse(), "a renewal in flight restores the lease")
	})

	It("that is requested again during the handover is not completed early", func() {
		f := newFixture(1)
		r := release.Release{ID: 7, Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: "ilo-2"}
		f.step(event.ReleaseRequested{Release: r})
		Expect(f.otherEffects).To(HaveLen(1))
		f.step(event.ReleaseRequested{Release: r})
		Expect(f.otherEffects).To(HaveLen(1))
	})

	It("lets the next lease holder answer a repeat", func() {
		old, next := newFixture(1), newFixtureWithoutLease(1)
		old.advance(200 * time.Millisecond)
		r := request.Request{ID: "id-1", Key: "k", IssuedAt: old.now}
		old.finish(old.submit(r, time.Second), answered)
		old.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: "ilo-2"}})
		handed := old.otherEffects[0].(effect.HandOver).Adopt
		next.now = old.now
		next.step(event.DedupEntriesReceived{Adopt: handed})
		g := grant.Grant{Term: 1, Generation: 2}
		next.step(event.LeaseChanged{Server: server, Lease: lease.Lease{Server: server, Grant: g, Origin: handed.Origin}.WithExpiry(next.now.Add(leaseDuration))})
		Expect(next.outcomes[next.submit(r, time.Second)]).To(HaveField("IsReplayed", true))
	})

	It("of one key hands over the dedup entries of that key", func() {
		f := newFixture(1)
		f.advance(200 * time.Millisecond)
		f.finish(f.submit(request.Request{ID: "id-1", Key: "hot", IssuedAt: f.now}, time.Second), answered)
		hash := unit.HashKey("hot")
		f.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, SuccessorServer: "inventario-2", SuccessorHost: "ilo-2", Term: 1, Version: 1,
			Units: []unit.Unit{{Service: service, HashSlot: int(hash % 4), KeyHash: hash}}}})
		Expect(f.otherEffects).To(HaveLen(1))
		Expect(f.otherEffects[0].(effect.HandOver).Adopt.Entries).To(HaveLen(1))
	})

	It("followed by a handover back lets the lease holder answer repeats of requests that ran meanwhile", func() {
		f := newFixture(1)
		origin := f.holder.Lease().Origin
		f.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: "ilo-2"}})
		f.advance(time.Second)
		u := unit.Unit{Service: service, HashSlot: int(unit.HashKey("k") % 4)}
		f.step(event.DedupEntriesReceived{Adopt: message.Adopt{ReleaseID: 8, Server: server, Origin: origin,
			Entries: []dedupentry.DedupEntry{{ID: "id-1", StartedAt: f.now, Unit: u, Answer: &answered}}, CoveredUnits: newAssignment(1, server).UnitsOf(server)}})
		g := grant.Grant{Term: 1, Generation: 3}
		f.step(event.LeaseChanged{Server: server, Lease: lease.Lease{Server: server, Grant: g, Origin: origin}.WithExpiry(f.now.Add(leaseDuration))})
		ticket := f.submit(request.Request{ID: "id-1", Key: "k", IssuedAt: f.now.Add(-time.Millisecond)}, time.Second)
		Expect(f.outcomes[ticket]).To(HaveField("IsReplayed", true))
	})

	It("hands over entries that do not cover units gained later", func() {
		old, next := newFixture(1), newFixtureWithoutLease(1)
		old.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(2, server, "inventario-2")})
		old.step(event.ReleaseRequested{Release: release.Release{ID: 7, Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: "ilo-2"}})
		handed := old.otherEffects[0].(effect.HandOver).Adopt
		next.advance(time.Second)
		next.step(event.AssignmentChanged{Server: server, Assignment: newAssignment(3, server)})
		next.step(event.DedupEntriesReceived{Adopt: handed})
		g := grant.Grant{Term: 1, Generation: 2}
		next.step(event.LeaseChanged{Server: server, Lease: lease.Lease{Server: server, Grant: g, Origin: handed.Origin}.WithExpiry(next.now.Add(leaseDuration))})
		unknownOutcomes := 0
		for i := range 20 {
			key := fmt.Sprintf("key-%d", i)
			o := next.outcomes[next.submit(request.Request{ID: key, Key: key, IssuedAt: next.now}, time.Second)]
			if _, isUnknown := o.(outcome.Unknown); isUnknown {
				unknownOutcomes++
			}
		}
		// The entries do not cover two of the four hash slots, to which about half of the 20 keys hash.
		Expect(unknownOutcomes).To(BeNumerically(">", 4))
	})
})

var _ = Describe("the scheduling", func() {
	It("runs the most urgent rank first and gives the others their floors", func() {
		f := newFixture(1)
		f.warmUp()
		running := f.submit(request.Request{Rank: "patient"}, time.Minute)
		for range 90 {
			f.submit(request.Request{Rank: "middle", Caller: "a"}, time.Hour)
			f.submit(request.Request{Rank: "patient", Caller: "a"}, time.Hour)
		}
		counts := map[string]int{}
		for range 300 {
			f.submit(request.Request{Rank: "urgent", Caller: "b"}, time.Minute)
			f.grantLease(1, leaseDuration)
			f.finish(running, outcome.Answered{})
			last := f.runs[len(f.runs)-1]
			counts[last.Request.Rank]++
			running = last.Ticket
		}
		// Of 300 dispatches the floors of 0.2 and 0.1 yield 60 and 30; the credit for the last one may be incomplete.
		Expect(counts["middle"]).To(BeNumerically("~", 60, 1))
		Expect(counts["patient"]).To(BeNumerically("~", 30, 1))
		Expect(counts["urgent"]).To(Equal(300 - counts["middle"] - counts["patient"]))
	})

	It("runs the earliest deadline first within a rank", func() {
		f := newFixture(1)
		f.warmUp()
		running := f.submit(request.Request{}, time.Minute)
		f.submit(request.Request{Caller: "a", Key: "late"}, time.Minute)
		f.submit(request.Request{Caller: "b", Key: "early"}, 30*time.Second)
		f.finish(running, outcome.Answered{})
		Expect(f.runs[len(f.runs)-1].Request.Key).To(Equal("early"))
	})

	It("alternates between callers", func() {
		f := newFixture(1)
		f.warmUp()
		running := f.submit(request.Request{}, time.Minute)
		for range 5 {
			f.submit(request.Request{Caller: "many"}, time.Minute)
		}
		f.submit(request.Request{Caller: "one"}, time.Minute)
		f.finish(running, outcome.Answered{})
		f.finish(f.runs[len(f.runs)-1].Ticket, outcome.Answered{})
		Expect(f.runs[len(f.runs)-1].Request.Caller).To(Equal("one"))
	})

	It("leaves a slot for other keys than a hot one", func() {
		f := newFixture(3)
		f.warmUp()
		for range 6 {
			f.submit(request.Request{Key: "hot", Caller: "a"}, time.Minute)
		}
		Expect(f.runs).To(HaveLen(3), "a slot stays idle although no request for another key waits")
		f.submit(request.Request{Key: "cold", Caller: "b"}, time.Minute)
		f.finish(f.runs[0].Ticket, outcome.Answered{})
		Expect(f.runs[3].Request.Key).To(Equal("cold"))
	})

	It("refuses a request that can't meet its deadline at once, with a retry delay", func() {
		f := newFixture(1)
		f.warmUp()
		for range 50 {
			f.submit(request.Request{Caller: "a"}, time.Minute)
		}
		ticket := f.submit(request.Request{Caller: "b"}, 100*time.Millisecond)
		Expect(f.outcomes[ticket]).To(HaveField("Reason", "the deadline can't be met"))
		Expect(f.outcomes[ticket]).To(HaveField("RetryAfter", BeNumerically(">", 0)))
	})

	It("confines a flood to the queue of its rank", func() {
		f := newFixture(1)
		f.warmUp()
		f.submit(request.Request{}, time.Minute)
		for range 4 {
			f.submit(request.Request{Rank: "urgent", Caller: "a"}, time.Minute)
		}
		Expect(f.outcomes).To(HaveLen(1))
		ticket := f.submit(request.Request{Rank: "patient", Caller: "b"}, time.Minute)
		Expect(f.outcomes).NotTo(HaveKey(ticket))
	})

	It("completes a queued request with NotRun after its deadline", func() {
		f := newFixture(1)
		f.submit(request.Request{}, time.Second)
		ticket := f.submit(request.Request{}, 500*time.Millisecond)
		f.advance(600 * time.Millisecond)
		Expect(f.outcomes[ticket]).To(Equal(outcome.NotRun{Reason: "the deadline passed in the queue", RetryAfter: 500 * time.Millisecond}))
	})
})

var _ = Describe("the concurrency limit", func() {
	It("starts at one slot after a cold start", func() {
		f := newFixture(4)
		for range 8 {
			f.submit(request.Request{Caller: "a"}, time.Minute)
		}
		Expect(f.runs).To(HaveLen(1))
	})

	It("pauses after a shed request and retries it within the budget", func() {
		f := newFixture(4)
		f.warmUp()
		for range 4 {
			f.submit(request.Request{Caller: "a"}, time.Minute)
		}
		shed := f.runs[0].Ticket
		f.step(event.AttemptFinished{Server: server, Ticket: shed, Outcome: outcome.NotRun{Reason: "shed"}, Shed: true})
		Expect(f.outcomes).NotTo(HaveKey(shed))
		Expect(f.runs).To(HaveLen(4), "the request is retried at once")
	})

	It("never exceeds the slots, counting attempts without a response", func() {
		f := newFixture(1)
		f.warmUp()
		first := f.submit(request.Request{Caller: "a"}, time.Minute)
		f.submit(request.Request{Caller: "a"}, time.Minute)
		f.finish(first, outcome.Unknown{})
		Expect(f.runs).To(HaveLen(1))
	})
})

var _ = Describe("a caller that disconnects", func() {
	It("removes its queued request", func() {
		f := newFixture(1)
		f.submit(request.Request{}, time.Minute)
		waiting := f.submit(request.Request{}, time.Minute)
		f.step(event.Cancelled{Server: server, Ticket: waiting})
		Expect(f.outcomes[waiting]).To(BeAssignableToTypeOf(outcome.NotRun{}))
		Expect(f.holder.Load().Waiting).To(BeZero())
	})

	It("aborts its running request", func() {
		f := newFixture(1)
		running := f.submit(request.Request{}, time.Minute)
		f.step(event.Cancelled{Server: server, Ticket: running})
		Expect(f.otherEffects).To(Equal([]effect.Effect{effect.Abort{Server: server, Ticket: running}}))
	})

	It("does not abort a request that another caller waits for", func() {
		f := newFixture(1)
		f.advance(200 * time.Millisecond)
		r := request.Request{ID: "id-1", Key: "k", IssuedAt: f.now}
		first := f.submit(r, time.Second)
		f.submit(r, time.Second)
		f.step(event.Cancelled{Server: server, Ticket: first})
		Expect(f.otherEffects).To(BeEmpty())
	})
})

package leaseholder_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/core/assignment"
	"redwingsill/core/duration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/idrecord"
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

func TestSteward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "LeaseHolder")
}

const (
	server  = "inventario-1"
	service = "inventario"
	permits = 3 * time.Second
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// bench steps one steward by hand.
type bench struct {
	steward leaseholder.LeaseHolder
	now     time.Time
	ticket  uint64
	told    map[uint64]outcome.Outcome
	runs    []effect.Run
	others  []effect.Effect
}

func newBench(slots int) *bench {
	b := newBenchWithoutPermit(slots)
	b.permit(1, permits)
	return b
}

func newBenchWithoutPermit(slots int) *bench {
	ranks := []resource.Rank{
		{Name: "urgent", Urgency: 0, QueueLimit: 3},
		{Name: "middle", Urgency: 1, QueueLimit: 100, Floor: 0.2},
		{Name: "patient", Urgency: 2, QueueLimit: 100, Floor: 0.1},
	}
	b := &bench{now: start, told: map[uint64]outcome.Outcome{}}
	b.steward = leaseholder.New(resource.BackendServer{Name: server, Service: service, Slots: slots, Connections: 10},
		resource.Service{Name: service, MaxAttempt: duration.Of(time.Second)}, ranks, timing.Default())
	b.step(event.Assigned{Server: server, Assignment: owned(1, server)})
	return b
}

// owned returns an assignment of four slots to the servers in turn.
func owned(version int64, servers ...string) assignment.Assignment {
	a := assignment.Assignment{Term: 1, Version: version}
	for slot := range 4 {
		a = a.WithOwner(unit.Unit{Service: service, Slot: slot}, servers[slot%len(servers)])
	}
	return a
}

func (b *bench) permit(generation int64, length time.Duration) {
	g := grant.Grant{Term: 1, Generation: generation}
	b.step(event.PermitChanged{Server: server, Permit: lease.Lease{Server: server, Grant: g, Origin: g}.WithExpiry(b.now.Add(length))})
}

func (b *bench) step(e event.Event) {
	var effects []effect.Effect
	b.steward, effects = b.steward.Step(e, b.now)
	for _, f := range effects {
		switch f := f.(type) {
		case effect.Tell:
			Expect(b.told).NotTo(HaveKey(f.Ticket), "told twice")
			b.told[f.Ticket] = f.Outcome
		case effect.Run:
			b.runs = append(b.runs, f)
		default:
			b.others = append(b.others, f)
		}
	}
}

func (b *bench) submit(r request.Request, patience time.Duration) uint64 {
	b.ticket++
	r.Service = service
	if r.Rank == "" {
		r.Rank = "middle"
	}
	b.step(event.Submitted{Server: server, Ticket: b.ticket, Request: r.WithDeadline(b.now.Add(patience))})
	return b.ticket
}

func (b *bench) finish(ticket uint64, o outcome.Outcome) {
	b.step(event.Finished{Server: server, Ticket: ticket, Outcome: o})
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(event.Ticked{Server: server})
}

func (b *bench) warm() {
	for range 200 {
		b.now = b.now.Add(10 * time.Millisecond)
		ticket := b.submit(request.Request{}, time.Second)
		b.now = b.now.Add(10 * time.Millisecond)
		b.finish(ticket, outcome.Answered{})
	}
	b.runs, b.told = nil, map[uint64]outcome.Outcome{}
	b.permit(1, permits)
}

var answered = outcome.Answered{Status: 200, Body: []byte("done")}

var _ = Describe("work that must not repeat", func() {
	id := func(b *bench) request.Request {
		return request.Request{ID: "id-1", Key: "k", IssuedAt: b.now}
	}

	It("gives a repeat the outcome that was kept", func() {
		b := newBench(2)
		b.pass(200 * time.Millisecond)
		r := id(b)
		first := b.submit(r, time.Second)
		b.finish(first, answered)
		second := b.submit(r, time.Second)
		Expect(b.runs).To(HaveLen(1))
		Expect(b.told[second]).To(Equal(outcome.Answered{Status: 200, Body: []byte("done"), IsReplayed: true}))
	})

	It("gives a repeat that comes while the first runs the same outcome", func() {
		b := newBench(2)
		b.pass(200 * time.Millisecond)
		r := id(b)
		first, second := b.submit(r, time.Second), b.submit(r, time.Second)
		b.finish(first, answered)
		Expect(b.runs).To(HaveLen(1))
		Expect(b.told[first]).To(Equal(answered))
		Expect(b.told[second]).To(Equal(answered))
	})

	It("may run again what did not run", func() {
		b := newBench(2)
		b.pass(200 * time.Millisecond)
		r := id(b)
		first := b.submit(r, 40*time.Millisecond)
		b.now = b.now.Add(25 * time.Millisecond)
		b.finish(first, outcome.NotRun{Reason: "refused"})
		Expect(b.told[first]).To(BeAssignableToTypeOf(outcome.NotRun{}))
		b.submit(r, time.Second)
		Expect(b.runs).To(HaveLen(2))
	})

	DescribeTable("never runs again", func(happens func(b *bench, ticket uint64)) {
		b := newBench(2)
		b.pass(200 * time.Millisecond)
		r := id(b)
		first := b.submit(r, time.Second)
		Expect(b.runs).To(HaveLen(1))
		happens(b, first)
		again := b.submit(r, time.Second)
		Expect(b.runs).To(HaveLen(1))
		Expect(b.told[again]).To(BeAssignableToTypeOf(outcome.Unknown{}))
	},
		Entry("after an answer that was lost", func(b *bench, t uint64) { b.finish(t, outcome.Unknown{}) }),
		Entry("after a new holding of the server, whose memory is empty", func(b *bench, t uint64) {
			b.finish(t, answered)
			b.permit(2, permits)
		}),
		Entry("after its outcome was forgotten", func(b *bench, t uint64) {
			b.finish(t, answered)
			b.pass(timing.Default().OutcomeRetention + time.Second)
			b.permit(1, permits)
		}),
		Entry("after its unit left the server and came back", func(b *bench, t uint64) {
			b.finish(t, outcome.Unknown{})
			b.step(event.Assigned{Server: server, Assignment: owned(2, "inventario-2")})
			b.step(event.Assigned{Server: server, Assignment: owned(3, server)})
		}),
	)

	It("is refused, not forgotten, when it can't be told apart from an older run at another server", func() {
		b := newBench(2)
		b.pass(500 * time.Millisecond)
		b.step(event.Assigned{Server: server, Assignment: owned(2, "inventario-2")})
		r := id(b)
		b.pass(time.Second)
		b.step(event.Assigned{Server: server, Assignment: owned(3, server)})
		ticket := b.submit(r, time.Second)
		Expect(b.told[ticket]).To(BeAssignableToTypeOf(outcome.Unknown{}))
	})

	DescribeTable("is refused when its key has been away and back", func(away func(b *bench, hot unit.Unit)) {
		b := newBench(2)
		b.pass(500 * time.Millisecond)
		hash := unit.Hash("hot")
		hot := unit.Unit{Service: service, Slot: int(hash % 4), Hash: hash}
		away(b, hot)
		r := request.Request{ID: "id-1", Key: "hot", IssuedAt: b.now}
		b.pass(time.Second)
		b.step(event.Assigned{Server: server, Assignment: owned(3, server)})
		Expect(b.told[b.submit(r, time.Second)]).To(BeAssignableToTypeOf(outcome.Unknown{}))
	},
		Entry("as an assignment said", func(b *bench, hot unit.Unit) {
			next := owned(2, server)
			b.step(event.Assigned{Server: server, Assignment: next.WithOwner(hot, "inventario-2")})
		}),
		Entry("in an assignment that never came here", func(b *bench, hot unit.Unit) {
			b.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, Units: []unit.Unit{hot}, Term: 1, Version: 1}})
		}),
	)

	It("runs at once where the server had been idle since before the id was issued", func() {
		b := newBench(2)
		b.pass(2 * time.Second)
		issued := b.now
		b.now = b.now.Add(300 * time.Millisecond)
		g := grant.Grant{Term: 1, Generation: 2}
		b.step(event.PermitChanged{Server: server, Permit: lease.Lease{Server: server, Grant: g, Origin: g,
			Idle: 600 * time.Millisecond}.WithExpiry(b.now.Add(permits))})
		b.submit(request.Request{ID: "id-2", Key: "k", IssuedAt: issued}, time.Second)
		Expect(b.runs).To(HaveLen(1))
	})
})

var _ = Describe("a permit", func() {
	It("is checked at each use, also after a pause", func() {
		b := newBench(2)
		b.now = b.now.Add(permits)
		ticket := b.submit(request.Request{Key: "k"}, time.Second)
		Expect(b.told[ticket]).To(BeAssignableToTypeOf(outcome.NotRun{}))
		Expect(b.runs).To(BeEmpty())
	})

	It("bounds the deadline of every attempt", func() {
		b := newBench(2)
		b.now = b.now.Add(permits - 100*time.Millisecond)
		b.submit(request.Request{Key: "k"}, time.Second)
		Expect(b.runs[0].Deadline).To(Equal(start.Add(permits)))
	})

	It("that lapses leaves nothing that waits in doubt", func() {
		b := newBench(1)
		b.submit(request.Request{Key: "a"}, 10*time.Second)
		waiting := b.submit(request.Request{Key: "b"}, 10*time.Second)
		b.pass(permits + time.Millisecond)
		Expect(b.told[waiting]).To(Equal(outcome.NotRun{Reason: server + " has moved", Moved: true}))
	})

	It("that is older than the one held changes nothing", func() {
		b := newBench(2)
		b.permit(3, permits)
		b.permit(2, 2*permits)
		Expect(b.steward.Permit().Grant.Generation).To(Equal(int64(3)))
	})
})

var _ = Describe("a release", func() {
	units := []unit.Unit{{Service: service, Slot: 0}, {Service: service, Slot: 1}, {Service: service, Slot: 2}, {Service: service, Slot: 3}}

	It("waits for what runs, refuses what waits and what comes, and then reports once", func() {
		b := newBench(1)
		running := b.submit(request.Request{Key: "a"}, time.Second)
		waiting := b.submit(request.Request{Key: "b"}, time.Second)
		order := release.Release{ID: 7, Server: server, Units: units}
		b.step(event.ReleaseAsked{Release: order})
		Expect(b.told[waiting]).To(HaveField("Moved", true))
		Expect(b.others).To(BeEmpty())
		late := b.submit(request.Request{Key: "c"}, time.Second)
		Expect(b.told[late]).To(HaveField("Moved", true))
		b.finish(running, answered)
		Expect(b.others).To(Equal([]effect.Effect{effect.Inform{Event: event.Released{Release: order}}}))
	})

	It("waits for an attempt without an answer until the server has surely stopped it", func() {
		b := newBench(1)
		running := b.submit(request.Request{Key: "a"}, 5*time.Second)
		b.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, Units: units}})
		b.now = b.now.Add(500 * time.Millisecond)
		b.finish(running, outcome.Unknown{})
		Expect(b.others).To(BeEmpty())
		b.pass(500 * time.Millisecond)
		Expect(b.others).To(BeEmpty())
		b.pass(timing.Default().ClockSkew + time.Millisecond)
		Expect(b.others).To(HaveLen(1))
	})

	It("of units lasts until an assignment that is newer than the order", func() {
		b := newBench(1)
		b.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, Units: units, Term: 1, Version: 3}})
		b.step(event.Assigned{Server: server, Assignment: owned(3, server)})
		late := b.submit(request.Request{Key: "a"}, time.Second)
		Expect(b.told[late]).To(HaveField("Moved", true))
		b.step(event.Assigned{Server: server, Assignment: owned(4, server)})
		b.submit(request.Request{Key: "a"}, time.Second)
		Expect(b.runs).To(HaveLen(1))
	})

	It("of the whole server hands over its memory and ends the permit", func() {
		b := newBench(1)
		b.pass(200 * time.Millisecond)
		ticket := b.submit(request.Request{ID: "id-1", Key: "k", IssuedAt: b.now}, time.Second)
		b.finish(ticket, answered)
		b.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, All: true, Successor: server, Heir: "ilo-2"}})
		Expect(b.others).To(HaveLen(1))
		handed := b.others[0].(effect.HandOver).Adopt
		Expect(handed.Entries).To(HaveLen(1))
		Expect(handed.Owned).To(HaveLen(4))
		b.permit(1, permits)
		Expect(b.steward.Permit().IsValid(b.now)).To(BeFalse(), "a renewal under way gives the permit back")
	})

	It("that is asked for again while its memory is on its way is not answered early", func() {
		b := newBench(1)
		order := release.Release{ID: 7, Server: server, All: true, Successor: server, Heir: "ilo-2"}
		b.step(event.ReleaseAsked{Release: order})
		Expect(b.others).To(HaveLen(1))
		b.step(event.ReleaseAsked{Release: order})
		Expect(b.others).To(HaveLen(1))
	})

	It("that is handed over lets the next steward answer a repeat", func() {
		old, next := newBench(1), newBenchWithoutPermit(1)
		old.pass(200 * time.Millisecond)
		r := request.Request{ID: "id-1", Key: "k", IssuedAt: old.now}
		old.finish(old.submit(r, time.Second), answered)
		old.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, All: true, Successor: server, Heir: "ilo-2"}})
		handed := old.others[0].(effect.HandOver).Adopt
		next.now = old.now
		next.step(event.MemoryAdopted{Adopt: handed})
		g := grant.Grant{Term: 1, Generation: 2}
		next.step(event.PermitChanged{Server: server, Permit: lease.Lease{Server: server, Grant: g, Origin: handed.Origin}.WithExpiry(next.now.Add(permits))})
		Expect(next.told[next.submit(r, time.Second)]).To(HaveField("IsReplayed", true))
	})

	It("of one key hands over what its requests left", func() {
		b := newBench(1)
		b.pass(200 * time.Millisecond)
		b.finish(b.submit(request.Request{ID: "id-1", Key: "hot", IssuedAt: b.now}, time.Second), answered)
		hash := unit.Hash("hot")
		b.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, Successor: "inventario-2", Heir: "ilo-2", Term: 1, Version: 1,
			Units: []unit.Unit{{Service: service, Slot: int(hash % 4), Hash: hash}}}})
		Expect(b.others).To(HaveLen(1))
		Expect(b.others[0].(effect.HandOver).Adopt.Entries).To(HaveLen(1))
	})

	It("that is handed over and back brings what ran meanwhile", func() {
		b := newBench(1)
		origin := b.steward.Permit().Origin
		b.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, All: true, Successor: server, Heir: "ilo-2"}})
		b.pass(time.Second)
		u := unit.Unit{Service: service, Slot: int(unit.Hash("k") % 4)}
		b.step(event.MemoryAdopted{Adopt: message.Adopt{ReleaseID: 8, Server: server, Origin: origin,
			Entries: []idrecord.IDRecord{{ID: "id-1", At: b.now, Unit: u, Answer: &answered}}, Owned: owned(1, server).UnitsOf(server)}})
		g := grant.Grant{Term: 1, Generation: 3}
		b.step(event.PermitChanged{Server: server, Permit: lease.Lease{Server: server, Grant: g, Origin: origin}.WithExpiry(b.now.Add(permits))})
		ticket := b.submit(request.Request{ID: "id-1", Key: "k", IssuedAt: b.now.Add(-time.Millisecond)}, time.Second)
		Expect(b.told[ticket]).To(HaveField("IsReplayed", true))
	})

	It("whose memory was handed over does not cover units gained since", func() {
		old, next := newBench(1), newBenchWithoutPermit(1)
		old.step(event.Assigned{Server: server, Assignment: owned(2, server, "inventario-2")})
		old.step(event.ReleaseAsked{Release: release.Release{ID: 7, Server: server, All: true, Successor: server, Heir: "ilo-2"}})
		handed := old.others[0].(effect.HandOver).Adopt
		next.pass(time.Second)
		next.step(event.Assigned{Server: server, Assignment: owned(3, server)})
		next.step(event.MemoryAdopted{Adopt: handed})
		g := grant.Grant{Term: 1, Generation: 2}
		next.step(event.PermitChanged{Server: server, Permit: lease.Lease{Server: server, Grant: g, Origin: handed.Origin}.WithExpiry(next.now.Add(permits))})
		elsewhere := 0
		for i := range 20 {
			key := fmt.Sprintf("key-%d", i)
			o := next.told[next.submit(request.Request{ID: key, Key: key, IssuedAt: next.now}, time.Second)]
			if _, isUnknown := o.(outcome.Unknown); isUnknown {
				elsewhere++
			}
		}
		Expect(elsewhere).To(BeNumerically(">", 4))
	})
})

var _ = Describe("the order of work", func() {
	It("takes the most urgent first and gives the others their floors", func() {
		b := newBench(1)
		b.warm()
		running := b.submit(request.Request{Rank: "patient"}, time.Minute)
		for range 90 {
			b.submit(request.Request{Rank: "middle", Caller: "a"}, time.Hour)
			b.submit(request.Request{Rank: "patient", Caller: "a"}, time.Hour)
		}
		counts := map[string]int{}
		for range 300 {
			b.submit(request.Request{Rank: "urgent", Caller: "b"}, time.Minute)
			b.permit(1, permits)
			b.finish(running, outcome.Answered{})
			last := b.runs[len(b.runs)-1]
			counts[last.Request.Rank]++
			running = last.Ticket
		}
		// Of 300 dispatches the floors of 0.2 and 0.1 are due 60 and 30; the last credit may still be saving up.
		Expect(counts["middle"]).To(BeNumerically("~", 60, 1))
		Expect(counts["patient"]).To(BeNumerically("~", 30, 1))
		Expect(counts["urgent"]).To(Equal(300 - counts["middle"] - counts["patient"]))
	})

	It("takes the earliest deadline first within a rank", func() {
		b := newBench(1)
		b.warm()
		running := b.submit(request.Request{}, time.Minute)
		b.submit(request.Request{Caller: "a", Key: "late"}, time.Minute)
		b.submit(request.Request{Caller: "b", Key: "early"}, 30*time.Second)
		b.finish(running, outcome.Answered{})
		Expect(b.runs[len(b.runs)-1].Request.Key).To(Equal("early"))
	})

	It("lets callers take turns", func() {
		b := newBench(1)
		b.warm()
		running := b.submit(request.Request{}, time.Minute)
		for range 5 {
			b.submit(request.Request{Caller: "many"}, time.Minute)
		}
		b.submit(request.Request{Caller: "one"}, time.Minute)
		b.finish(running, outcome.Answered{})
		b.finish(b.runs[len(b.runs)-1].Ticket, outcome.Answered{})
		Expect(b.runs[len(b.runs)-1].Request.Caller).To(Equal("one"))
	})

	It("leaves a slot to other keys than a hot one", func() {
		b := newBench(3)
		b.warm()
		for range 6 {
			b.submit(request.Request{Key: "hot", Caller: "a"}, time.Minute)
		}
		Expect(b.runs).To(HaveLen(3), "a slot stays idle though nobody else waits")
		b.submit(request.Request{Key: "cold", Caller: "b"}, time.Minute)
		b.finish(b.runs[0].Ticket, outcome.Answered{})
		Expect(b.runs[3].Request.Key).To(Equal("cold"))
	})

	It("refuses what can't meet its deadline at once, with when to come back", func() {
		b := newBench(1)
		b.warm()
		for range 50 {
			b.submit(request.Request{Caller: "a"}, time.Minute)
		}
		ticket := b.submit(request.Request{Caller: "b"}, 100*time.Millisecond)
		Expect(b.told[ticket]).To(HaveField("Reason", "the deadline can't be met"))
		Expect(b.told[ticket]).To(HaveField("RetryAfter", BeNumerically(">", 0)))
	})

	It("lets a flood fill only the queue of its own rank", func() {
		b := newBench(1)
		b.warm()
		b.submit(request.Request{}, time.Minute)
		for range 4 {
			b.submit(request.Request{Rank: "urgent", Caller: "a"}, time.Minute)
		}
		Expect(b.told).To(HaveLen(1))
		ticket := b.submit(request.Request{Rank: "patient", Caller: "b"}, time.Minute)
		Expect(b.told).NotTo(HaveKey(ticket))
	})

	It("tells what waited beyond its deadline that it did not run", func() {
		b := newBench(1)
		b.submit(request.Request{}, time.Second)
		ticket := b.submit(request.Request{}, 500*time.Millisecond)
		b.pass(600 * time.Millisecond)
		Expect(b.told[ticket]).To(Equal(outcome.NotRun{Reason: "the deadline passed in the queue", RetryAfter: 500 * time.Millisecond}))
	})
})

var _ = Describe("the pace of a backend server", func() {
	It("ramps up from a cold start", func() {
		b := newBench(4)
		for range 8 {
			b.submit(request.Request{Caller: "a"}, time.Minute)
		}
		Expect(b.runs).To(HaveLen(1))
	})

	It("slows after a shed answer and runs the request again within the budget", func() {
		b := newBench(4)
		b.warm()
		for range 4 {
			b.submit(request.Request{Caller: "a"}, time.Minute)
		}
		shed := b.runs[0].Ticket
		b.step(event.Finished{Server: server, Ticket: shed, Outcome: outcome.NotRun{Reason: "shed"}, Shed: true})
		Expect(b.told).NotTo(HaveKey(shed))
		Expect(b.runs).To(HaveLen(4), "the server is asked again at once")
	})

	It("never runs more than its slots, counting attempts without an answer", func() {
		b := newBench(1)
		b.warm()
		first := b.submit(request.Request{Caller: "a"}, time.Minute)
		b.submit(request.Request{Caller: "a"}, time.Minute)
		b.finish(first, outcome.Unknown{})
		Expect(b.runs).To(HaveLen(1))
	})
})

var _ = Describe("a caller that goes", func() {
	It("takes what waits out of the queue", func() {
		b := newBench(1)
		b.submit(request.Request{}, time.Minute)
		waiting := b.submit(request.Request{}, time.Minute)
		b.step(event.Cancelled{Server: server, Ticket: waiting})
		Expect(b.told[waiting]).To(BeAssignableToTypeOf(outcome.NotRun{}))
		Expect(b.steward.Load().Waiting).To(BeZero())
	})

	It("has what runs cancelled at the backend server", func() {
		b := newBench(1)
		running := b.submit(request.Request{}, time.Minute)
		b.step(event.Cancelled{Server: server, Ticket: running})
		Expect(b.others).To(Equal([]effect.Effect{effect.Abort{Server: server, Ticket: running}}))
	})

	It("does not cancel what another caller waits for", func() {
		b := newBench(1)
		b.pass(200 * time.Millisecond)
		r := request.Request{ID: "id-1", Key: "k", IssuedAt: b.now}
		first := b.submit(r, time.Second)
		b.submit(r, time.Second)
		b.step(event.Cancelled{Server: server, Ticket: first})
		Expect(b.others).To(BeEmpty())
	})
})

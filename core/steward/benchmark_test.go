package steward_test

import (
	"sync"
	"testing"
	"time"

	"redwingsill/core/duration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/outcome"
	"redwingsill/core/permit"
	"redwingsill/core/rcu"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/steward"
	"redwingsill/core/timing"
)

func benchmarked() steward.Steward {
	ranks := []resource.Rank{{Name: "urgent", Urgency: 0, QueueLimit: 300}, {Name: "middle", Urgency: 1, QueueLimit: 300, Floor: 0.1}}
	s := steward.New(resource.BackendServer{Name: server, Service: service, Slots: 6, Connections: 10},
		resource.Service{Name: service, MaxAttempt: duration.Of(time.Second)}, ranks, timing.Default())
	s, _ = s.Step(event.Assigned{Server: server, Assignment: owned(1, server)}, start)
	g := grant.Grant{Term: 1, Generation: 1}
	s, _ = s.Step(event.PermitChanged{Server: server, Permit: permit.Permit{Server: server, Grant: g, Origin: g}.WithExpiry(start.Add(time.Hour))}, start)
	return s
}

// serveOne passes one request through a steward by an update function, which may run its step more than once.
func serveOne(update func(step func(steward.Steward) steward.Steward), ticket uint64) {
	var effects []effect.Effect
	r := request.Request{Service: service, Key: "k", Rank: "urgent", Caller: "a", Deadline: start.Add(time.Minute)}
	update(func(s steward.Steward) steward.Steward {
		s, effects = s.Step(event.Submitted{Server: server, Ticket: ticket, Request: r}, start)
		return s
	})
	for _, e := range effects {
		if run, ok := e.(effect.Run); ok {
			update(func(s steward.Steward) steward.Steward {
				s, _ = s.Step(event.Finished{Server: server, Ticket: run.Ticket, Outcome: outcome.Answered{}}, start)
				return s
			})
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	s := benchmarked()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		serveOne(func(step func(steward.Steward) steward.Steward) { s = step(s) }, uint64(i))
	}
}

func BenchmarkSharedByCompareAndSwap(b *testing.B) {
	value := rcu.New(benchmarked())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(0); pb.Next(); i++ {
			serveOne(func(step func(steward.Steward) steward.Steward) { value.Update(step) }, i)
		}
	})
}

func BenchmarkSharedByMutex(b *testing.B) {
	s := benchmarked()
	var mu sync.Mutex
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(0); pb.Next(); i++ {
			serveOne(func(step func(steward.Steward) steward.Steward) {
				mu.Lock()
				defer mu.Unlock()
				s = step(s)
			}, i)
		}
	})
}

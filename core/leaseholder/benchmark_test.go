package leaseholder_test

import (
	"sync"
	"testing"
	"time"

	"redwingsill/core/duration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/leaseholder"
	"redwingsill/core/outcome"
	"redwingsill/core/rcu"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/timing"
)

func newBenchmarkHolder() leaseholder.LeaseHolder {
	ranks := []resource.Rank{{Name: "urgent", Urgency: 0, QueueLimit: 300}, {Name: "middle", Urgency: 1, QueueLimit: 300, Floor: 0.1}}
	holder := leaseholder.New(resource.BackendServer{Name: server, Service: service, Slots: 6, Connections: 10},
		resource.Service{Name: service, MaxAttempt: duration.Of(time.Second)}, ranks, timing.Default())
	holder, _ = holder.Step(event.AssignmentChanged{Server: server, Assignment: newAssignment(1, server)}, start)
	g := grant.Grant{Term: 1, Generation: 1}
	holder, _ = holder.Step(event.LeaseChanged{Server: server, Lease: lease.Lease{Server: server, Grant: g, Origin: g}.WithExpiry(start.Add(time.Hour))}, start)
	return holder
}

// serveOne runs one request through a lease holder. update applies a step to the lease holder and may run the step more
// than once.
func serveOne(update func(step func(leaseholder.LeaseHolder) leaseholder.LeaseHolder), ticket uint64) {
	var effects []effect.Effect
	r := request.Request{Service: service, Key: "k", Rank: "urgent", Caller: "a", Deadline: start.Add(time.Minute)}
	update(func(holder leaseholder.LeaseHolder) leaseholder.LeaseHolder {
		holder, effects = holder.Step(event.Submitted{Server: server, Ticket: ticket, Request: r}, start)
		return holder
	})
	for _, e := range effects {
		if run, ok := e.(effect.Run); ok {
			update(func(holder leaseholder.LeaseHolder) leaseholder.LeaseHolder {
				holder, _ = holder.Step(event.AttemptFinished{Server: server, Ticket: run.Ticket, Outcome: outcome.Answered{}}, start)
				return holder
			})
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	holder := newBenchmarkHolder()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		serveOne(func(step func(leaseholder.LeaseHolder) leaseholder.LeaseHolder) { holder = step(holder) }, uint64(i))
	}
}

func BenchmarkSharedByCompareAndSwap(b *testing.B) {
	value := rcu.New(newBenchmarkHolder())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(0); pb.Next(); i++ {
			serveOne(func(step func(leaseholder.LeaseHolder) leaseholder.LeaseHolder) { value.Update(step) }, i)
		}
	})
}

func BenchmarkSharedByMutex(b *testing.B) {
	holder := newBenchmarkHolder()
	var mu sync.Mutex
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(0); pb.Next(); i++ {
			serveOne(func(step func(leaseholder.LeaseHolder) leaseholder.LeaseHolder) {
				mu.Lock()
				defer mu.Unlock()
				holder = step(holder)
			}, i)
		}
	})
}

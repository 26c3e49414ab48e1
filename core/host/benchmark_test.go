package host_test

import (
	"fmt"
	"testing"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/duration"
	"redwingsill/core/example"
	"redwingsill/core/lease"
	"redwingsill/core/request"
	"redwingsill/core/resource"
	"redwingsill/core/route"
	"redwingsill/core/snapshot"
	"redwingsill/core/unit"
	"redwingsill/core/view"
)

// largestGroup returns a group of the largest size supported: 20 entry hosts, 400 backend servers, 65,536 hash slots and
// 150 hot keys.
func largestGroup() (configuration.Configuration, assignment.Assignment, view.View) {
	c := example.Size{Hosts: 20, Servers: 400, ServerSlots: 2, HashSlots: 65536, HotKeys: 150}.Configuration()
	a := assignment.Assignment{Term: 1, Version: 1}.WithHashSlots(example.Service, 65536)
	v := view.View{Term: 1, Version: 1, LeaseHolders: map[string]string{}}
	for i := range 400 {
		v.LeaseHolders[fmt.Sprintf("%s-%d", example.Service, i+1)] = fmt.Sprintf("ilo-%d", i%20+1)
	}
	for i := range 150 {
		hash := unit.HashKey(fmt.Sprint(i))
		a = a.WithOwner(unit.Unit{Service: example.Service, HashSlot: int(hash % 65536), KeyHash: hash}, "inventario-1")
	}
	return c, a, v
}

func BenchmarkRoute(b *testing.B) {
	c, a, v := largestGroup()
	s := snapshot.New("ilo-1", example.DataCentre, c, a, v)
	r := request.Request{Service: example.Service, Key: "lot-7", Rank: example.UrgentRank, Deadline: time.Now().Add(time.Second)}
	load := func(string) float64 { return 0 }
	isUnreachable := func(string) bool { return false }
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		route.Choose(&s, r, "", 0, load, isUnreachable, i)
	}
}

func BenchmarkNewSnapshot(b *testing.B) {
	c, a, v := largestGroup()
	b.ReportAllocs()
	for b.Loop() {
		snapshot.New("ilo-1", example.DataCentre, c, a, v)
	}
}

func BenchmarkChange(b *testing.B) {
	c, _, _ := largestGroup()
	rank := resource.Rank{Name: example.PatientRank, Urgency: 2, Target: duration.Of(time.Second), QueueLimit: 1, Default: true}
	b.ReportAllocs()
	for b.Loop() {
		next := c.With(rank).WithHomes()
		if err := next.Check(); err != nil {
			b.Fatal(err)
		}
		next.WithAcceptedChange("id", "ops", time.Time{}, nil)
	}
}

func BenchmarkLeaseDigest(b *testing.B) {
	var held []lease.Lease
	for i := range 20 {
		held = append(held, lease.Lease{Server: fmt.Sprintf("%s-%d", example.Service, i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		lease.Digest(held)
	}
}

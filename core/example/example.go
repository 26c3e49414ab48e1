// Package example provides small configurations for tests and benchmarks.
package example

import (
	"fmt"
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/duration"
	"redwingsill/core/resource"
)

// Size holds the dimensions of an example with one data centre and one sharded service.
type Size struct {
	Hosts   int
	Servers int
	// ServerSlots is the number of requests that each backend server runs concurrently.
	ServerSlots int
	// HashSlots is the number of hash slots that the service's keys hash to.
	HashSlots int
	// HotKeys is the maximum number of keys with an owner of their own.
	HotKeys int
	// ChecksGrants is set when the backend servers check grants.
	ChecksGrants bool
}

// The names used in every example. Entry hosts and backend servers are numbered, such as "ilo-1" and "inventario-1".
const (
	DataCentre  = "ilo"
	Service     = "inventario"
	UrgentRank  = "dispatch"
	MiddleRank  = "reservation"
	PatientRank = "stock"
)

// Configuration returns the example's configuration at revision 1.
func (s Size) Configuration() configuration.Configuration {
	c := configuration.Configuration{}
	centre := resource.DataCentre{Name: DataCentre}
	for i := range s.Hosts {
		centre.EntryHosts = append(centre.EntryHosts, fmt.Sprintf("%s-%d", DataCentre, i+1))
	}
	c = c.With(centre).With(resource.Service{Name: Service, DividedByKey: true, Slots: s.HashSlots, MaxBodyBytes: 1 << 16,
		MaxAttempt: duration.Of(time.Second)})
	for i := range s.Servers {
		c = c.With(resource.BackendServer{Name: fmt.Sprintf("%s-%d", Service, i+1), Service: Service, DataCentre: DataCentre,
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), Slots: s.ServerSlots, Connections: 130, ChecksGrants: s.ChecksGrants})
	}
	c = c.With(resource.Rank{Name: UrgentRank, Urgency: 0, Target: duration.Of(250 * time.Millisecond), Worth: 100, QueueLimit: 200}).
		With(resource.Rank{Name: MiddleRank, Urgency: 1, Target: duration.Of(500 * time.Millisecond), Worth: 30, Floor: 0.1, QueueLimit: 200}).
		With(resource.Rank{Name: PatientRank, Urgency: 2, Target: duration.Of(3 * time.Second), Worth: 1, Floor: 0.05, QueueLimit: 400, Default: true}).
		With(resource.OwnershipPolicy{Name: Service, Service: Service, HotKeys: s.HotKeys, MaxMoves: 8, MoveInterval: duration.Of(2 * time.Second)})
	return c.WithHomes().WithAcceptedChange("first", "example", time.Time{}, nil)
}

// Package snapshot holds all that an entry host needs to route a request.
package snapshot

import (
	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/view"
)

// Snapshot is what an entry host knows at one moment. It is immutable; readers share it without locks.
type Snapshot struct {
	Self          string
	DataCentre    string
	Configuration configuration.Configuration
	Assignment    assignment.Assignment
	View          view.View
	// Unkeyed gives the backend servers of each service in this data centre, by service.
	Unkeyed map[string][]string
	// Peers gives the entry hosts of each other data centre, by data centre.
	Peers map[string][]string
	// IsReady says that the host has what it needs to route.
	IsReady bool
	// IsLeaving says that the host is to receive no new requests.
	IsLeaving bool
}

// New returns the snapshot of a host.
func New(self, dataCentre string, c configuration.Configuration, a assignment.Assignment, v view.View) Snapshot {
	s := Snapshot{Self: self, DataCentre: dataCentre, Configuration: c, Assignment: a, View: v,
		Unkeyed: map[string][]string{}, Peers: map[string][]string{}}
	for _, b := range c.ServersOf("", dataCentre) {
		if !v.Down[b.Name] && !v.Leaving[b.Name] && v.LeaseHolders[b.Name] != "" {
			s.Unkeyed[b.Service] = append(s.Unkeyed[b.Service], b.Name)
		}
	}
	for name, centre := range c.DataCentres {
		for _, host := range centre.EntryHosts {
			if name != dataCentre && !v.Leaving[host] {
				s.Peers[name] = append(s.Peers[name], host)
			}
		}
	}
	return s
}

// WithState returns the snapshot with the host's readiness.
func (s Snapshot) WithState(isReady, isLeaving bool) Snapshot {
	s.IsReady, s.IsLeaving = isReady, isLeaving
	return s
}

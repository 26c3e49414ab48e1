// Package snapshot defines the routing state of an entry host.
package snapshot

import (
	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/view"
)

// Snapshot is the routing state of an entry host at one moment. It is immutable, so readers share it without locks.
type Snapshot struct {
	Host          string
	DataCentre    string
	Configuration configuration.Configuration
	Assignment    assignment.Assignment
	View          view.View
	// ServersByService lists the available backend servers of each service in this data centre, for requests without a
	// key.
	ServersByService map[string][]string
	// Peers lists the entry hosts of each other data centre that are not leaving.
	Peers map[string][]string
	// IsReady is set when the host has the state that routing needs.
	IsReady bool
	// IsLeaving is set when the host must receive no new requests.
	IsLeaving bool
}

// New returns the snapshot of a host, which is neither ready nor leaving.
func New(self, dataCentre string, c configuration.Configuration, a assignment.Assignment, v view.View) Snapshot {
	s := Snapshot{Host: self, DataCentre: dataCentre, Configuration: c, Assignment: a, View: v,
		ServersByService: map[string][]string{}, Peers: map[string][]string{}}
	for _, b := range c.ServersOf("", dataCentre) {
		if !v.Down[b.Name] && !v.Leaving[b.Name] && v.LeaseHolders[b.Name] != "" {
			s.ServersByService[b.Service] = append(s.ServersByService[b.Service], b.Name)
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

// WithState returns the snapshot with new values of IsReady and IsLeaving.
func (s Snapshot) WithState(isReady, isLeaving bool) Snapshot {
	s.IsReady, s.IsLeaving = isReady, isLeaving
	return s
}

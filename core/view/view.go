// Package view defines the state of hosts and backend servers that a leader distributes to its group.
package view

import (
	"maps"

	"redwingsill/core/hostentry"
)

// View is the state of the hosts and backend servers of one group, numbered by term and version. It is immutable.
type View struct {
	Term    int64
	Version int64
	// LeaseHolders gives the entry host that holds the lease on each backend server.
	LeaseHolders map[string]string `json:"Stewards"`
	// Down lists the backend servers that the monitoring system has declared down.
	Down map[string]bool
	// Leaving lists the hosts and backend servers that are about to stop, according to the platform's list or their own
	// reports.
	Leaving map[string]bool
	// Hosts is the platform's list of the entry hosts of all data centres, by name.
	Hosts map[string]hostentry.HostEntry
}

// IsNewerThan reports whether v has a later term or version than o.
func (v View) IsNewerThan(o View) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Version > o.Version
}

// HasSameContent reports whether v and o are equal apart from their term and version.
func (v View) HasSameContent(o View) bool {
	return maps.Equal(v.LeaseHolders, o.LeaseHolders) && maps.Equal(v.Down, o.Down) &&
		maps.Equal(v.Leaving, o.Leaving) && maps.Equal(v.Hosts, o.Hosts)
}

// WithVersion returns the view with a term and version.
func (v View) WithVersion(term, version int64) View {
	v.Term, v.Version = term, version
	return v
}

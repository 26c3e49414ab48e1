// Package view holds what an arbiter tells its cell about hosts and backend servers.
package view

import (
	"maps"

	"redwingsill/core/hostentry"
)

// View is the changing facts of one cell at one version of one term. It is immutable.
type View struct {
	Term    int64
	Version int64
	// Stewards gives the entry host of each backend server.
	LeaseHolders map[string]string `json:"Stewards"`
	// Down lists the backend servers that the monitoring group has declared down.
	Down map[string]bool
	// Leaving lists the hosts and backend servers that the platform's list calls leaving.
	Leaving map[string]bool
	// Hosts is the platform's list of entry hosts of all data centres, by name.
	Hosts map[string]hostentry.HostEntry
}

// Newer reports whether v is newer than o.
func (v View) IsNewerThan(o View) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Version > o.Version
}

// Same reports whether both say the same, whatever their versions.
func (v View) HasSameFacts(o View) bool {
	return maps.Equal(v.LeaseHolders, o.LeaseHolders) && maps.Equal(v.Down, o.Down) &&
		maps.Equal(v.Leaving, o.Leaving) && maps.Equal(v.Hosts, o.Hosts)
}

// WithVersion returns the view numbered for a term.
func (v View) WithVersion(term, version int64) View {
	v.Term, v.Version = term, version
	return v
}

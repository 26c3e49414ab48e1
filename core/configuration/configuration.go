// Package configuration holds the declared resources as an immutable value with a revision.
package configuration

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/duration"
	"redwingsill/core/resource"
)

// Configuration is the set of declared resources at one revision. The zero value is empty, at revision 0. Its maps must
// not be modified.
type Configuration struct {
	Revision          int64
	DataCentres       map[string]resource.DataCentre
	Services          map[string]resource.Service
	BackendServers    map[string]resource.BackendServer
	Ranks             map[string]resource.Rank
	OwnershipPolicies map[string]resource.OwnershipPolicy
	// Homes maps each service to the home data centre of each hash slot, whose backend servers may own it.
	Homes map[string][]string
	// Changes are the most recent accepted changes, newest last.
	Changes []change
}

// With returns the configuration with r added, or replaced if a resource of the same kind and name exists.
func (c Configuration) With(r resource.Resource) Configuration {
	switch r := r.(type) {
	case resource.DataCentre:
		c.DataCentres = withEntry(c.DataCentres, r.Name, r)
	case resource.Service:
		c.Services = withEntry(c.Services, r.Name, r)
	case resource.BackendServer:
		c.BackendServers = withEntry(c.BackendServers, r.Name, r)
	case resource.Rank:
		c.Ranks = withEntry(c.Ranks, r.Name, r)
	case resource.OwnershipPolicy:
		c.OwnershipPolicies = withEntry(c.OwnershipPolicies, r.Name, r)
	}
	return c
}

// Without returns the configuration without the resource of r's kind and name.
func (c Configuration) Without(r resource.Resource) Configuration {
	switch r := r.(type) {
	case resource.DataCentre:
		c.DataCentres = withoutEntry(c.DataCentres, r.Name)
	case resource.Service:
		c.Services = withoutEntry(c.Services, r.Name)
		c.Homes = withoutEntry(c.Homes, r.Name)
	case resource.BackendServer:
		c.BackendServers = withoutEntry(c.BackendServers, r.Name)
	case resource.Rank:
		c.Ranks = withoutEntry(c.Ranks, r.Name)
	case resource.OwnershipPolicy:
		c.OwnershipPolicies = withoutEntry(c.OwnershipPolicies, r.Name)
	}
	return c
}

// Resources returns all resources, grouped by kind and ordered by name within a kind.
func (c Configuration) Resources() []resource.Resource {
	var all []resource.Resource
	all = appendSorted(all, c.DataCentres)
	all = appendSorted(all, c.Services)
	all = appendSorted(all, c.Ranks)
	all = appendSorted(all, c.OwnershipPolicies)
	return appendSorted(all, c.BackendServers)
}

// ServersOf returns the backend servers of a service in a data centre, ordered by name. An empty service or data centre
// matches all.
func (c Configuration) ServersOf(service, dataCentre string) []resource.BackendServer {
	var found []resource.BackendServer
	for _, name := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := c.BackendServers[name]
		if (service == "" || b.Service == service) && (dataCentre == "" || b.DataCentre == dataCentre) {
			found = append(found, b)
		}
	}
	return found
}

// PolicyOf returns the ownership policy of a service, the first by name if there are several. The default allows 16
// moves per second and no hot keys.
func (c Configuration) PolicyOf(service string) resource.OwnershipPolicy {
	for _, name := range slices.Sorted(maps.Keys(c.OwnershipPolicies)) {
		if p := c.OwnershipPolicies[name]; p.Service == service {
			return p
		}
	}
	return resource.OwnershipPolicy{Service: service, MaxMoves: 16, MoveInterval: duration.Of(time.Second)}
}

// DefaultRank returns the rank of requests without a rank, and whether one is declared.
func (c Configuration) DefaultRank() (resource.Rank, bool) {
	for _, name := range slices.Sorted(maps.Keys(c.Ranks)) {
		if c.Ranks[name].Default {
			return c.Ranks[name], true
		}
	}
	return resource.Rank{}, false
}

func withEntry[V any](m map[string]V, name string, v V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[name] = v
	return next
}

func withoutEntry[V any](m map[string]V, name string) map[string]V {
	next := maps.Clone(m)
	delete(next, name)
	return next
}

func appendSorted[R resource.Resource](all []resource.Resource, m map[string]R) []resource.Resource {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[name])
	}
	return all
}

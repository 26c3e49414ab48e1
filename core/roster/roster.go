// Package roster holds the backend servers found by discovery.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"redwingsill/core/instance"
)

// Roster is a set of backend servers with one instance for each ID. It is immutable.
type Roster struct {
	byID map[string]instance.Instance
	// byService gives the instances of each service in the order of their IDs. Rosters share the slices, so a change
	// must build a new slice.
	byService map[string][]instance.Instance
}

// New returns a roster of the given instances.
func New(instances ...instance.Instance) Roster { return Roster{}.With(instances...) }

// With returns the roster with the given instances, which replace those with the same IDs.
func (r Roster) With(instances ...instance.Instance) Roster {
	if len(instances) == 0 {
		return r
	}
	next := make(map[string]instance.Instance, len(r.byID)+len(instances))
	maps.Copy(next, r.byID)
	changed := map[string]bool{}
	for _, i := range instances {
		changed[next[i.ID].Service], changed[i.Service] = true, true
		next[i.ID] = i
	}
	return Roster{byID: next, byService: r.byService}.withRegrouped(changed)
}

// Without returns the roster without the instances with the given IDs.
func (r Roster) Without(ids ...string) Roster {
	changed := map[string]bool{}
	for _, id := range ids {
		if i, ok := r.byID[id]; ok {
			changed[i.Service] = true
		}
	}
	if len(changed) == 0 {
		return r
	}
	next := maps.Clone(r.byID)
	for _, id := range ids {
		delete(next, id)
	}
	return Roster{byID: next, byService: r.byService}.withRegrouped(changed)
}

// withRegrouped rebuilds the instance lists of the given services.
func (r Roster) withRegrouped(services map[string]bool) Roster {
	byService := make(map[string][]instance.Instance, len(r.byService)+len(services))
	maps.Copy(byService, r.byService)
	for service := range services {
		delete(byService, service)
	}
	for _, i := range r.byID {
		if services[i.Service] {
			byService[i.Service] = append(byService[i.Service], i)
		}
	}
	for service := range services {
		slices.SortFunc(byService[service], func(a, b instance.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.byService = byService
	return r
}

// Len returns the number of backend servers.
func (r Roster) Len() int { return len(r.byID) }

// Find returns the instance with an ID, and whether there is one.
func (r Roster) Find(id string) (instance.Instance, bool) {
	i, ok := r.byID[id]
	return i, ok
}

// OfService returns the instances of a service in the order of their IDs. The caller must not modify the slice.
func (r Roster) OfService(service string) []instance.Instance { return r.byService[service] }

// All returns all instances in the order of their IDs.
func (r Roster) All() []instance.Instance {
	return slices.SortedFunc(maps.Values(r.byID), func(a, b instance.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// Equal reports whether both rosters hold the same instances.
func (r Roster) Equal(o Roster) bool { return maps.Equal(r.byID, o.byID) }

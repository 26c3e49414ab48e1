// Package roster holds the backend servers that discovery knows.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"redwingsill/core/instance"
)

// Roster is the backend servers by the ID of each. It is immutable.
type Roster struct {
	byID map[string]instance.Instance
	// byService has the same in the order of the IDs. Its slices are copied before they change.
	byService map[string][]instance.Instance
}

// New returns the roster of the instances.
func New(instances ...instance.Instance) Roster { return Roster{}.With(instances...) }

// With returns the roster with instances in place of earlier lives of the same IDs.
func (r Roster) With(instances ...instance.Instance) Roster {
	if len(instances) == 0 {
		return r
	}
	next := make(map[string]instance.Instance, len(r.byID)+len(instances))
	maps.Copy(next, r.byID)
	touched := map[string]bool{}
	for _, i := range instances {
		touched[next[i.ID].Service], touched[i.Service] = true, true
		next[i.ID] = i
	}
	return Roster{byID: next, byService: r.byService}.regrouped(touched)
}

// Without returns the roster without the IDs.
func (r Roster) Without(ids ...string) Roster {
	touched := map[string]bool{}
	for _, id := range ids {
		if i, ok := r.byID[id]; ok {
			touched[i.Service] = true
		}
	}
	if len(touched) == 0 {
		return r
	}
	next := maps.Clone(r.byID)
	for _, id := range ids {
		delete(next, id)
	}
	return Roster{byID: next, byService: r.byService}.regrouped(touched)
}

// regrouped returns the roster with the lists of some services made anew.
func (r Roster) regrouped(services map[string]bool) Roster {
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

// Find returns the instance of an ID.
func (r Roster) Find(id string) (instance.Instance, bool) {
	i, ok := r.byID[id]
	return i, ok
}

// OfService returns the instances of a service in the order of their IDs. They must not be changed.
func (r Roster) OfService(service string) []instance.Instance { return r.byService[service] }

// All returns all instances in the order of their IDs.
func (r Roster) All() []instance.Instance {
	return slices.SortedFunc(maps.Values(r.byID), func(a, b instance.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// IsSame reports whether both are one and the same roster.
func (r Roster) IsSame(o Roster) bool { return maps.Equal(r.byID, o.byID) }

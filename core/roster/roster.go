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
}

// New returns the roster of the instances.
func New(instances ...instance.Instance) Roster {
	byID := make(map[string]instance.Instance, len(instances))
	for _, i := range instances {
		byID[i.ID] = i
	}
	return Roster{byID: byID}
}

// With returns the roster with an instance in place of an earlier life of the same ID.
func (r Roster) With(i instance.Instance) Roster {
	next := make(map[string]instance.Instance, len(r.byID)+1)
	maps.Copy(next, r.byID)
	next[i.ID] = i
	return Roster{byID: next}
}

// Without returns the roster without the ID.
func (r Roster) Without(id string) Roster {
	if _, ok := r.byID[id]; !ok {
		return r
	}
	next := maps.Clone(r.byID)
	delete(next, id)
	return Roster{byID: next}
}

// Len returns the number of backend servers.
func (r Roster) Len() int { return len(r.byID) }

// Find returns the instance of an ID.
func (r Roster) Find(id string) (instance.Instance, bool) {
	i, ok := r.byID[id]
	return i, ok
}

// OfService returns the instances of a service in the order of their IDs.
func (r Roster) OfService(service string) []instance.Instance {
	var found []instance.Instance
	for _, i := range r.byID {
		if i.Service == service {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b instance.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// All returns all instances in the order of their IDs.
func (r Roster) All() []instance.Instance {
	return slices.SortedFunc(maps.Values(r.byID), func(a, b instance.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// IsSame reports whether both are one and the same roster.
func (r Roster) IsSame(o Roster) bool { return maps.Equal(r.byID, o.byID) }

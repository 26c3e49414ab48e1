// Package directory holds the known entry hosts.
package directory

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Directory is the set of known entry hosts, and which of them is the coordinator. It is immutable.
type Directory struct {
	// hosts is sorted by name. It is copied before a change.
	hosts []host
	// Coordinator is the name of the host that assigns ownership, or empty.
	Coordinator string
}

// With returns the directory with one more host, in place of any with the same name. The capacity is the number of
// processor cores that the host may use; parts of a core count as fractions.
func (d Directory) With(name string, address netip.AddrPort, dataCentre string, capacity float64) Directory {
	h := host{Name: name, Address: address, DataCentre: dataCentre, Capacity: capacity, nameHash: xxhash.Sum64String(name)}
	n, ok := d.index(name)
	if ok {
		d.hosts = slices.Clone(d.hosts)
		d.hosts[n] = h
		return d
	}
	d.hosts = slices.Insert(slices.Clone(d.hosts), n, h)
	return d
}

// Without returns the directory without the named host.
func (d Directory) Without(name string) Directory {
	if n, ok := d.index(name); ok {
		d.hosts = slices.Delete(slices.Clone(d.hosts), n, n+1)
	}
	return d
}

// WithCoordinator returns the directory with the named coordinator, or with none if the name is empty.
func (d Directory) WithCoordinator(name string) Directory {
	d.Coordinator = name
	return d
}

// Len returns the number of hosts.
func (d Directory) Len() int { return len(d.hosts) }

// All returns the hosts sorted by name. The caller must not modify the slice.
func (d Directory) All() []host { return d.hosts }

// DataCentres returns the names of the hosts' data centres, sorted.
func (d Directory) DataCentres() []string {
	var all []string
	for _, h := range d.hosts {
		if n, ok := slices.BinarySearch(all, h.DataCentre); !ok {
			all = slices.Insert(all, n, h.DataCentre)
		}
	}
	return all
}

// Find returns the host with a name, and whether there is one.
func (d Directory) Find(name string) (host, bool) {
	n, ok := d.index(name)
	if !ok {
		return host{}, false
	}
	return d.hosts[n], true
}

func (d Directory) index(name string) (int, bool) {
	return slices.BinarySearchFunc(d.hosts, name, func(h host, name string) int { return strings.Compare(h.Name, name) })
}

// TopRanked returns the first hosts for a subject, up to limit, without excluded ones. The limit must be at least 1;
// with a smaller one, TopRanked panics if there is a host to rank. The subject names the task to be assigned, such as
// giving out the slots of a service. Hosts with more capacity come first; those with equal capacity are ordered by
// rendezvous hashing of the subject. All hosts compute the same order, and adding or removing a host leaves the order
// of the others unchanged.
func (d Directory) TopRanked(subject string, limit int, isExcluded func(name string) bool) []host {
	subjectHash := xxhash.Sum64String(subject)
	top := make([]host, 0, limit+1)
	for _, h := range d.hosts {
		if len(top) == limit && !h.ranksBefore(top[limit-1], subjectHash) || isExcluded(h.Name) {
			continue
		}
		n, _ := slices.BinarySearchFunc(top, h, func(a, b host) int {
			if a.ranksBefore(b, subjectHash) {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, n, h)
		top = top[:min(len(top), limit)]
	}
	return top
}

// Rank returns how many hosts come before the named one for a subject, or the number of all hosts if the named one is
// not known.
func (d Directory) Rank(subject, name string) int {
	target, ok := d.Find(name)
	if !ok {
		return len(d.hosts)
	}
	subjectHash := xxhash.Sum64String(subject)
	rank := 0
	for _, h := range d.hosts {
		if h.ranksBefore(target, subjectHash) {
			rank++
		}
	}
	return rank
}

// Package directory holds the entry hosts that are known.
package directory

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Directory is the entry hosts and which of them is the coordinator. It is immutable.
type Directory struct {
	// hosts is in the order of the names. It is copied before it changes.
	hosts []host
	// Coordinator is the name of the host that decides on ownership, or empty.
	Coordinator string
}

// With returns the directory with a host. The capacity is its share of a processor.
func (d Directory) With(name string, address netip.AddrPort, dataCentre string, capacity float64) Directory {
	h := host{Name: name, Address: address, DataCentre: dataCentre, Capacity: capacity, hash: xxhash.Sum64String(name)}
	n, ok := d.index(name)
	if ok {
		d.hosts = slices.Clone(d.hosts)
		d.hosts[n] = h
		return d
	}
	d.hosts = slices.Insert(slices.Clone(d.hosts), n, h)
	return d
}

// Without returns the directory without a host.
func (d Directory) Without(name string) Directory {
	if n, ok := d.index(name); ok {
		d.hosts = slices.Delete(slices.Clone(d.hosts), n, n+1)
	}
	return d
}

// WithCoordinator returns the directory with another coordinator.
func (d Directory) WithCoordinator(name string) Directory {
	d.Coordinator = name
	return d
}

// Len returns the number of hosts.
func (d Directory) Len() int { return len(d.hosts) }

// All returns the hosts in the order of their names. They must not be changed.
func (d Directory) All() []host { return d.hosts }

// DataCentres returns the names of the hosts' data centres, in order.
func (d Directory) DataCentres() []string {
	var all []string
	for _, h := range d.hosts {
		if n, ok := slices.BinarySearch(all, h.DataCentre); !ok {
			all = slices.Insert(all, n, h.DataCentre)
		}
	}
	return all
}

// Find returns a host by its name.
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

// First returns up to so many hosts, of those that are not left out, in the order of a subject. The order is the same at
// all hosts and differs from subject to subject. Hosts with more capacity come first, and the others stay as they were when
// one comes or goes.
func (d Directory) First(subject string, most int, isLeftOut func(name string) bool) []host {
	hash := xxhash.Sum64String(subject)
	first := make([]host, 0, most+1)
	for _, h := range d.hosts {
		if len(first) == most && !h.isBefore(first[most-1], hash) || isLeftOut(h.Name) {
			continue
		}
		n, _ := slices.BinarySearchFunc(first, h, func(a, b host) int {
			if a.isBefore(b, hash) {
				return -1
			}
			return 1
		})
		first = slices.Insert(first, n, h)
		first = first[:min(len(first), most)]
	}
	return first
}

// Position returns how many hosts come before a host in the order of a subject, all of them for one that isn't known.
func (d Directory) Position(subject, name string) int {
	own, ok := d.Find(name)
	if !ok {
		return len(d.hosts)
	}
	hash := xxhash.Sum64String(subject)
	before := 0
	for _, h := range d.hosts {
		if h.isBefore(own, hash) {
			before++
		}
	}
	return before
}

// Package directory holds the entry hosts that are known.
package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Directory is the entry hosts and which of them is the coordinator. It is immutable.
type Directory struct {
	hosts map[string]host
	// Coordinator is the name of the host that decides on ownership, or empty.
	Coordinator string
}

// With returns the directory with a host.
func (d Directory) With(name string, address netip.AddrPort, dataCentre string) Directory {
	next := make(map[string]host, len(d.hosts)+1)
	maps.Copy(next, d.hosts)
	next[name] = host{Name: name, Address: address, DataCentre: dataCentre}
	d.hosts = next
	return d
}

// Without returns the directory without a host.
func (d Directory) Without(name string) Directory {
	d.hosts = maps.Clone(d.hosts)
	delete(d.hosts, name)
	return d
}

// WithCoordinator returns the directory with another coordinator.
func (d Directory) WithCoordinator(name string) Directory {
	d.Coordinator = name
	return d
}

// Len returns the number of hosts.
func (d Directory) Len() int { return len(d.hosts) }

// Find returns a host by its name.
func (d Directory) Find(name string) (host, bool) {
	h, ok := d.hosts[name]
	return h, ok
}

// Names returns the hosts' names in order.
func (d Directory) Names() []string { return slices.Sorted(maps.Keys(d.hosts)) }

// Order returns the hosts in an order that is the same at all hosts, that differs from subject to subject, and in which
// the others stay as they were when one comes or goes.
func (d Directory) Order(subject string) []host {
	type ranked struct {
		host host
		hash uint64
	}
	all := make([]ranked, 0, len(d.hosts))
	for name, h := range d.hosts {
		all = append(all, ranked{host: h, hash: xxhash.Sum64String(subject + "/" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host.Name, b.host.Name))
	})
	hosts := make([]host, len(all))
	for i, r := range all {
		hosts[i] = r.host
	}
	return hosts
}

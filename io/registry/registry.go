// Package registry keeps what entry hosts tell each other through a key-value store: who is there, who is the coordinator,
// and who owns which keys.
package registry

import (
	"encoding/json"
	"log/slog"
	"maps"
	"net/netip"
	"strings"

	"redwingsill/core/directory"
	"redwingsill/core/keymap"
	"redwingsill/core/rcu"
	"redwingsill/core/record"
)

// The keys in the store.
const (
	// Prefix begins all of them.
	Prefix = "redwingsill/"
	// Coordinator is the key of the host that decides on ownership; it ends with that host's lease.
	Coordinator = Prefix + "coordinator"
	// OwnersPrefix begins the keys of services' owners. They change often, so that most hosts only look at times.
	OwnersPrefix = "redwingsill-owners/"

	hosts = Prefix + "hosts/"
)

// Registry follows the keys. It implements watch.Sink.
type Registry struct {
	directory   *rcu.Value[directory.Directory]
	keys        *rcu.Value[map[string]keymap.Map]
	coordinator *rcu.Value[record.Record]
	isWhole     *rcu.Value[bool]
	changed     func()
	log         *slog.Logger
}

// New returns a registry that keeps a directory up to date. The function changed is called after each change.
func New(d *rcu.Value[directory.Directory], changed func(), log *slog.Logger) *Registry {
	return &Registry{directory: d, keys: rcu.New(map[string]keymap.Map{}), coordinator: rcu.New(record.Record{}),
		isWhole: rcu.New(false), changed: changed, log: log}
}

// HostKey returns the key of a host.
func HostKey(name string) string { return hosts + name }

// OwnersKey returns the key of a service's owners.
func OwnersKey(service string) string { return OwnersPrefix + service }

// EncodeHost returns the value of a host's key. The capacity is the host's share of a processor.
func EncodeHost(address netip.AddrPort, dataCentre string, capacity float64) ([]byte, error) {
	return json.Marshal(hostDocument{Address: address, DataCentre: dataCentre, Capacity: capacity})
}

// EncodeCoordinator returns the value of the coordinator's key. The mark tells one campaign from another.
func EncodeCoordinator(name, mark string) ([]byte, error) {
	return json.Marshal(coordinatorDocument{Name: name, Mark: mark})
}

// MarkOf returns the mark in a value of the coordinator's key or of an owners' key, or nothing.
func MarkOf(value []byte) string {
	var d struct{ Mark string }
	if json.Unmarshal(value, &d) != nil {
		return "" // a value that can't be read is not ours
	}
	return d.Mark
}

// EncodeOwners returns the value of a service's owners. Fence is above every fencing token in use.
func EncodeOwners(m keymap.Map, fence int64, mark string) ([]byte, error) {
	return json.Marshal(ownersDocument{Holdings: rows(m), Fence: fence, Mark: mark})
}

// DecodeOwners returns the owners in a value, and the fencing token that is above every one in use. No value has no owners.
func DecodeOwners(value []byte) (keymap.Map, int64, error) {
	var d ownersDocument
	if len(value) == 0 {
		return keymap.New(), 0, nil
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return keymap.Map{}, 0, err
	}
	return d.keys(), d.Fence, nil
}

// Apply implements watch.Sink.
func (r *Registry) Apply(changes []record.Record, _ int64, isWhole bool) {
	for _, c := range changes {
		switch {
		case c.Key == Coordinator:
			r.setCoordinator(c)
		case strings.HasPrefix(c.Key, hosts):
			r.setHost(strings.TrimPrefix(c.Key, hosts), c)
		case strings.HasPrefix(c.Key, OwnersPrefix):
			r.setOwners(strings.TrimPrefix(c.Key, OwnersPrefix), c)
		}
	}
	if isWhole && !r.isWhole.Load() {
		r.isWhole.Store(true)
	}
	if len(changes) > 0 {
		r.changed()
	}
}

// Lost implements watch.Sink. What was known stays in use.
func (r *Registry) Lost() {}

// SetCoordinator takes the coordinator's entry as it was read by itself. One without a revision says that there is none.
func (r *Registry) SetCoordinator(c record.Record) {
	if c.Revision == 0 {
		c = record.Record{Key: Coordinator, IsRemoved: true, Revision: r.CoordinatorRevision()}
	}
	if c.Revision > r.CoordinatorRevision() || c.IsRemoved {
		r.setCoordinator(c)
		r.changed()
	}
}

func (r *Registry) setCoordinator(c record.Record) {
	name := ""
	if !c.IsRemoved {
		var d coordinatorDocument
		if err := json.Unmarshal(c.Value, &d); err != nil {
			r.log.Warn("coordinator's entry can't be read", "Error", err)
		}
		name = d.Name
		r.coordinator.Store(c)
	} else {
		r.coordinator.Store(record.Record{})
	}
	r.log.Info("coordinator", "Name", name, "Revision", c.Revision)
	r.directory.Update(func(d directory.Directory) directory.Directory { return d.WithCoordinator(name) })
}

func (r *Registry) setHost(name string, c record.Record) {
	if c.IsRemoved {
		r.directory.Update(func(d directory.Directory) directory.Directory { return d.Without(name) })
		return
	}
	var d hostDocument
	if err := json.Unmarshal(c.Value, &d); err != nil {
		r.log.Warn("host's entry can't be read", "Name", name, "Error", err)
		return
	}
	r.directory.Update(func(old directory.Directory) directory.Directory {
		return old.With(name, d.Address, d.DataCentre, d.Capacity)
	})
}

func (r *Registry) setOwners(service string, c record.Record) {
	m, _, err := DecodeOwners(c.Value)
	if err != nil {
		r.log.Warn("owners' entry can't be read", "Service", service, "Error", err)
		return
	}
	r.keys.Update(func(old map[string]keymap.Map) map[string]keymap.Map {
		next := maps.Clone(old)
		next[service] = m
		return next
	})
}

// CoordinatorRevision returns the revision of the coordinator's key as last seen, or 0 where there is no coordinator.
func (r *Registry) CoordinatorRevision() int64 { return r.coordinator.Read().Revision }

// IsWhole reports whether all entries have been read once.
func (r *Registry) IsWhole() bool { return r.isWhole.Load() }

// Owners returns the owners of a service's keys as last seen.
func (r *Registry) Owners(service string) keymap.Map { return (*r.keys.Read())[service] }

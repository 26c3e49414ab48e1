// Package registry keeps the state that entry hosts share through the key-value store: the hosts, the coordinator, and
// the owners of keys.
package registry

import (
	"encoding/json"
	"log/slog"
	"maps"
	"net/netip"
	"strings"

	"redwingsill/core/directory"
	"redwingsill/core/era"
	"redwingsill/core/keymap"
	"redwingsill/core/rcu"
	"redwingsill/core/record"
)

// Keys in the store.
const (
	// Prefix is the prefix of the keys of hosts and of the coordinator.
	Prefix = "redwingsill/"
	// CoordinatorKey is the key of the coordinator. The store removes it when the coordinator's lease ends.
	CoordinatorKey = Prefix + "coordinator"
	// OwnersPrefix is the prefix of the keys of services' owners. It is not below Prefix, since owners change often and
	// hosts that do not decide on them read them only at intervals.
	OwnersPrefix = "redwingsill-owners/"
	// ElectorateKey is the key of the hosts by whose reports coordinators find the store unreachable. It is not below
	// Prefix, since only a new coordinator reads it.
	ElectorateKey = "redwingsill-electorate"

	// hostsPrefix is the prefix of the keys of hosts.
	hostsPrefix = Prefix + "hosts/"
)

// Registry keeps the last known hosts, coordinator and owners from the entries of the store. It implements
// [redwingsill/io/watch.Sink].
type Registry struct {
	directory   *rcu.Value[directory.Directory]
	owners      *rcu.Value[map[string]keymap.Map]
	coordinator *rcu.Value[record.Record]
	hasSynced   *rcu.Value[bool]
	onChange    func()
	log         *slog.Logger
}

// New returns a registry that keeps a directory up to date and calls onChange after each change of the entries.
func New(d *rcu.Value[directory.Directory], onChange func(), log *slog.Logger) *Registry {
	return &Registry{directory: d, owners: rcu.New(map[string]keymap.Map{}), coordinator: rcu.New(record.Record{}),
		hasSynced: rcu.New(false), onChange: onChange, log: log}
}

// HostKey returns the key of a host.
func HostKey(name string) string { return hostsPrefix + name }

// OwnersKey returns the key of a service's owners.
func OwnersKey(service string) string { return OwnersPrefix + service }

// EncodeHost returns the value of a host's key. The capacity is the host's CPU limit, in processors.
func EncodeHost(address netip.AddrPort, dataCentre string, capacity float64) ([]byte, error) {
	return json.Marshal(hostDocument{Address: address, DataCentre: dataCentre, Capacity: capacity})
}

// EncodeCoordinator returns the value of the coordinator's key, to be written in an era of the store. The write ID must differ between
// campaigns.
func EncodeCoordinator(name, writeID string, e era.Era) ([]byte, error) {
	return json.Marshal(coordinatorDocument{Name: name, WriteID: writeID, Era: e})
}

// EncodeElectorate returns the value of the electorate's key: the coordinator's set of hosts, and those of earlier
// coordinators.
func EncodeElectorate(hosts []string, earlier [][]string, writeID string, e era.Era) ([]byte, error) {
	return json.Marshal(electorateDocument{Hosts: hosts, Earlier: earlier, WriteID: writeID, Era: e})
}

// DecodeElectorate returns the sets of hosts in a value, that of the coordinator that wrote it first. It is an error if no
// coordinator can have written the value.
func DecodeElectorate(value []byte) ([][]string, error) {
	var d electorateDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	return append([][]string{d.Hosts}, d.Earlier...), nil
}

// WriteIDOf returns the write ID in a value of the coordinator's key, of an owners' key or of the electorate's key, or "" if there is none.
func WriteIDOf(value []byte) string {
	var d struct {
		WriteID string `json:"Mark"`
	}
	if json.Unmarshal(value, &d) != nil {
		return "" // not a value that an entry host has written
	}
	return d.WriteID
}

// EraOf returns the era in which a value of the coordinator's key, of an owners' key or of the electorate's key was written, or 0 if it
// names none.
func EraOf(value []byte) era.Era {
	var d struct{ Era era.Era }
	if json.Unmarshal(value, &d) != nil {
		return 0 // not a value that an entry host has written
	}
	return d.Era
}

// EncodeOwners returns the value of the key of a service's owners. The fence is the highest reserved fencing token, at
// least as high as every one in use.
func EncodeOwners(m keymap.Map, fence int64, writeID string, e era.Era) ([]byte, error) {
	return json.Marshal(ownersDocument{Holdings: holdingDocuments(m), Fence: fence, WriteID: writeID, Era: e})
}

// DecodeOwners returns the owners in a value, and the highest reserved fencing token, which is at least as high as
// every one in use. It is an error if no coordinator can have written the value.
func DecodeOwners(value []byte) (keymap.Map, int64, error) {
	var d ownersDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return keymap.Map{}, 0, err
	}
	if err := d.check(); err != nil {
		return keymap.Map{}, 0, err
	}
	return d.owners(), d.Fence, nil
}

// Apply implements [redwingsill/io/watch.Sink].
func (r *Registry) Apply(changes []record.Record, _ int64, hasSynced bool) {
	for _, c := range changes {
		switch {
		case c.Key == CoordinatorKey:
			r.setCoordinator(c)
		case strings.HasPrefix(c.Key, hostsPrefix):
			r.setHost(strings.TrimPrefix(c.Key, hostsPrefix), c)
		case strings.HasPrefix(c.Key, OwnersPrefix):
			r.setOwners(strings.TrimPrefix(c.Key, OwnersPrefix), c)
		}
	}
	if hasSynced && !r.hasSynced.Load() {
		r.hasSynced.Store(true)
	}
	if len(changes) > 0 {
		r.onChange()
	}
}

// Lost implements [redwingsill/io/watch.Sink]. The last known entries stay in use.
func (r *Registry) Lost() {}

// SetCoordinator applies a record of the coordinator's key that was read directly, if it is newer than the known one. A
// record with revision 0 means that there is no coordinator, and is applied in any case.
func (r *Registry) SetCoordinator(c record.Record) {
	if c.Revision == 0 {
		c = record.Record{Key: CoordinatorKey, IsRemoved: true, Revision: r.CoordinatorRevision()}
	}
	if c.Revision > r.CoordinatorRevision() || c.IsRemoved {
		r.setCoordinator(c)
		r.onChange()
	}
}

// setCoordinator stores a record of the coordinator's key and sets the coordinator in the directory. If the value is
// invalid, the directory has no coordinator, but CoordinatorRevision still returns the revision.
func (r *Registry) setCoordinator(c record.Record) {
	name := ""
	if !c.IsRemoved {
		var d coordinatorDocument
		if err := json.Unmarshal(c.Value, &d); err != nil {
			r.log.Warn("invalid entry of the coordinator", "Revision", c.Revision, "Error", err)
		} else {
			name = d.Name
		}
		r.coordinator.Store(c)
	} else {
		r.coordinator.Store(record.Record{})
	}
	r.log.Info("coordinator", "Name", name, "Revision", c.Revision)
	r.directory.Update(func(d directory.Directory) directory.Directory { return d.WithCoordinator(name) })
}

// setHost updates the directory by a record of a host's key. A host whose entry turns invalid stays as it was.
func (r *Registry) setHost(name string, c record.Record) {
	if c.IsRemoved {
		r.directory.Update(func(d directory.Directory) directory.Directory { return d.Without(name) })
		return
	}
	var d hostDocument
	err := json.Unmarshal(c.Value, &d)
	if err == nil {
		err = d.check()
	}
	if err != nil || name == "" {
		r.log.Warn("invalid entry of a host", "Name", name, "Revision", c.Revision, "Error", err)
		return
	}
	r.directory.Update(func(old directory.Directory) directory.Directory {
		return old.With(name, d.Address, d.DataCentre, d.Capacity)
	})
}

func (r *Registry) setOwners(service string, c record.Record) {
	m := keymap.New()
	if !c.IsRemoved {
		var err error
		if m, _, err = DecodeOwners(c.Value); err != nil {
			r.log.Warn("invalid entry of owners", "Service", service, "Revision", c.Revision, "Error", err)
			return
		}
	}
	r.owners.Update(func(old map[string]keymap.Map) map[string]keymap.Map {
		next := maps.Clone(old)
		next[service] = m
		return next
	})
}

// CoordinatorRevision returns the last known revision of the coordinator's key, or 0 if there is no coordinator.
func (r *Registry) CoordinatorRevision() int64 { return r.coordinator.Read().Revision }

// CoordinatorEra returns the era in which the last known value of the coordinator's key was written.
func (r *Registry) CoordinatorEra() era.Era { return EraOf(r.coordinator.Read().Value) }

// HasSynced reports whether all entries have been read once.
func (r *Registry) HasSynced() bool { return r.hasSynced.Load() }

// Owners returns the last known owners of a service's keys.
func (r *Registry) Owners(service string) keymap.Map { return (*r.owners.Read())[service] }

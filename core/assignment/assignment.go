// Package assignment maps the units of one group of entry hosts to the backend servers that own them. The entry hosts
// of a data centre form a group.
package assignment

import (
	"maps"
	"slices"

	"redwingsill/core/unit"
)

// Assignment maps the units of a group to their owners. It is immutable.
type Assignment struct {
	// Term is the term of the leader that wrote this version.
	Term int64
	// Version is incremented by each write.
	Version int64
	// WriteID identifies this write, so that the leader can tell after a lost response whether it succeeded.
	WriteID string
	// HashSlots maps a service to the owners of its hash slots, in order. A hash slot whose home is another data centre
	// has no owner here.
	HashSlots map[string][]owner `json:"Slots"`
	// HotKeys maps a service and key hash to the owner of a key that has moved out of its hash slot.
	HotKeys map[string]map[uint64]owner
}

// OwnerOfHash returns the backend server that serves a hash and the generation of its ownership, or "" if this group
// has no owner for it.
func (a Assignment) OwnerOfHash(service string, hash uint64) (string, int64) {
	if hot, ok := a.HotKeys[service][hash]; ok {
		return hot.Server, hot.Generation
	}
	hashSlots := a.HashSlots[service]
	if len(hashSlots) == 0 {
		return "", 0
	}
	o := hashSlots[hash%uint64(len(hashSlots))]
	return o.Server, o.Generation
}

// OwnerOfUnit returns the backend server that owns u, or "".
func (a Assignment) OwnerOfUnit(u unit.Unit) string {
	if u.IsHotKey() {
		return a.HotKeys[u.Service][u.KeyHash].Server
	}
	if hashSlots := a.HashSlots[u.Service]; u.HashSlot < len(hashSlots) {
		return hashSlots[u.HashSlot].Server
	}
	return ""
}

// ServingServer returns the backend server that serves u, or "". A hot key without its own owner is served by the owner
// of its hash slot.
func (a Assignment) ServingServer(u unit.Unit) string {
	if !u.IsHotKey() {
		return a.OwnerOfUnit(u)
	}
	server, _ := a.OwnerOfHash(u.Service, u.KeyHash)
	return server
}

// UnitOf returns the unit that a hash belongs to.
func (a Assignment) UnitOf(service string, hash uint64) unit.Unit {
	u := unit.Unit{Service: service}
	if n := len(a.HashSlots[service]); n > 0 {
		u.HashSlot = int(hash % uint64(n))
	}
	if _, ok := a.HotKeys[service][hash]; ok {
		u.KeyHash = hash
	}
	return u
}

// WithOwner returns the assignment with server as the owner of u. An empty server removes the owner.
func (a Assignment) WithOwner(u unit.Unit, server string) Assignment {
	if u.IsHotKey() {
		return a.withHotKey(u, server)
	}
	hashSlots := slices.Clone(a.HashSlots[u.Service])
	for len(hashSlots) <= u.HashSlot {
		hashSlots = append(hashSlots, owner{})
	}
	hashSlots[u.HashSlot] = owner{Server: server, Generation: hashSlots[u.HashSlot].Generation + 1}
	a.HashSlots = maps.Clone(a.HashSlots)
	if a.HashSlots == nil {
		a.HashSlots = map[string][]owner{}
	}
	a.HashSlots[u.Service] = hashSlots
	return a
}

// WithHashSlots returns the assignment with n hash slots for the service. The first n keep their owners.
func (a Assignment) WithHashSlots(service string, n int) Assignment {
	if len(a.HashSlots[service]) == n {
		return a
	}
	hashSlots := make([]owner, n)
	copy(hashSlots, a.HashSlots[service])
	a.HashSlots = maps.Clone(a.HashSlots)
	if a.HashSlots == nil {
		a.HashSlots = map[string][]owner{}
	}
	a.HashSlots[service] = hashSlots
	return a
}

// WithWrite returns the assignment as the next version, with the given term and write ID.
func (a Assignment) WithWrite(term int64, writeID string) Assignment {
	a.Term, a.Version, a.WriteID = term, a.Version+1, writeID
	return a
}

// UnitsOf returns the units that a backend server owns, hash slots before hot keys.
func (a Assignment) UnitsOf(server string) []unit.Unit {
	var found []unit.Unit
	for _, service := range slices.Sorted(maps.Keys(a.HashSlots)) {
		for hashSlot, o := range a.HashSlots[service] {
			if o.Server == server {
				found = append(found, unit.Unit{Service: service, HashSlot: hashSlot})
			}
		}
	}
	for _, u := range a.hotKeyUnits() {
		if a.OwnerOfUnit(u) == server {
			found = append(found, u)
		}
	}
	return found
}

// MovedUnits returns the units whose owner differs in next, mapped to their owner in a. Units without an owner in a are
// left out. The owner of a hot key is the server that serves it, which may be the owner of its hash slot.
func (a Assignment) MovedUnits(next Assignment) map[unit.Unit]string {
	moves := map[unit.Unit]string{}
	for service, hashSlots := range a.HashSlots {
		for hashSlot, o := range hashSlots {
			u := unit.Unit{Service: service, HashSlot: hashSlot}
			if o.Server != "" && next.OwnerOfUnit(u) != o.Server {
				moves[u] = o.Server
			}
		}
	}
	for _, u := range append(a.hotKeyUnits(), next.hotKeyUnits()...) {
		before, after := a.ServingServer(u), next.ServingServer(u)
		if before != "" && before != after {
			moves[u] = before
		}
	}
	return moves
}

func (a Assignment) withHotKey(u unit.Unit, server string) Assignment {
	_, generation := a.OwnerOfHash(u.Service, u.KeyHash)
	a.HotKeys = maps.Clone(a.HotKeys)
	if a.HotKeys == nil {
		a.HotKeys = map[string]map[uint64]owner{}
	}
	keys := maps.Clone(a.HotKeys[u.Service])
	if keys == nil {
		keys = map[uint64]owner{}
	}
	keys[u.KeyHash] = owner{Server: server, Generation: generation + 1}
	if server == "" {
		delete(keys, u.KeyHash)
	}
	a.HotKeys[u.Service] = keys
	return a
}

func (a Assignment) hotKeyUnits() []unit.Unit {
	var found []unit.Unit
	for _, service := range slices.Sorted(maps.Keys(a.HotKeys)) {
		for _, hash := range slices.Sorted(maps.Keys(a.HotKeys[service])) {
			if n := len(a.HashSlots[service]); n > 0 {
				found = append(found, unit.Unit{Service: service, HashSlot: int(hash % uint64(n)), KeyHash: hash})
			}
		}
	}
	return found
}

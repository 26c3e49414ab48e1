// Package assignment maps the units of one group to the backend servers that own them.
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
	// Slots maps a service to the owners of its slots, in slot order. A slot of another group has no owner here.
	Slots map[string][]owner
	// HotKeys maps a service and key hash to the owner of a key that has moved out of its slot.
	HotKeys map[string]map[uint64]owner
}

// OwnerOfHash returns the backend server that serves a hash and the generation of its ownership, or "" if this group
// has no owner for it.
func (a Assignment) OwnerOfHash(service string, hash uint64) (string, int64) {
	if hot, ok := a.HotKeys[service][hash]; ok {
		return hot.Server, hot.Generation
	}
	slots := a.Slots[service]
	if len(slots) == 0 {
		return "", 0
	}
	o := slots[hash%uint64(len(slots))]
	return o.Server, o.Generation
}

// OwnerOfUnit returns the backend server that owns u, or "".
func (a Assignment) OwnerOfUnit(u unit.Unit) string {
	if u.IsHotKey() {
		return a.HotKeys[u.Service][u.KeyHash].Server
	}
	if slots := a.Slots[u.Service]; u.Slot < len(slots) {
		return slots[u.Slot].Server
	}
	return ""
}

// ServingServer returns the backend server that serves u, or "". A hot key without its own owner is served by the owner
// of its slot.
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
	if n := len(a.Slots[service]); n > 0 {
		u.Slot = int(hash % uint64(n))
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
	slots := slices.Clone(a.Slots[u.Service])
	for len(slots) <= u.Slot {
		slots = append(slots, owner{})
	}
	slots[u.Slot] = owner{Server: server, Generation: slots[u.Slot].Generation + 1}
	a.Slots = maps.Clone(a.Slots)
	if a.Slots == nil {
		a.Slots = map[string][]owner{}
	}
	a.Slots[u.Service] = slots
	return a
}

// WithSlots returns the assignment with n slots for the service. Existing slots keep their owners.
func (a Assignment) WithSlots(service string, n int) Assignment {
	if len(a.Slots[service]) == n {
		return a
	}
	slots := make([]owner, n)
	copy(slots, a.Slots[service])
	a.Slots = maps.Clone(a.Slots)
	if a.Slots == nil {
		a.Slots = map[string][]owner{}
	}
	a.Slots[service] = slots
	return a
}

// WithWrite returns the assignment as the next version, with the given term and write ID.
func (a Assignment) WithWrite(term int64, writeID string) Assignment {
	a.Term, a.Version, a.WriteID = term, a.Version+1, writeID
	return a
}

// UnitsOf returns the units that a backend server owns, slots before hot keys.
func (a Assignment) UnitsOf(server string) []unit.Unit {
	var found []unit.Unit
	for _, service := range slices.Sorted(maps.Keys(a.Slots)) {
		for slot, o := range a.Slots[service] {
			if o.Server == server {
				found = append(found, unit.Unit{Service: service, Slot: slot})
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
// left out. The owner of a hot key is the server that serves it, which may be the owner of its slot.
func (a Assignment) MovedUnits(next Assignment) map[unit.Unit]string {
	moves := map[unit.Unit]string{}
	for service, slots := range a.Slots {
		for slot, o := range slots {
			u := unit.Unit{Service: service, Slot: slot}
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
			if n := len(a.Slots[service]); n > 0 {
				found = append(found, unit.Unit{Service: service, Slot: int(hash % uint64(n)), KeyHash: hash})
			}
		}
	}
	return found
}

// Package assignment holds which backend server owns which unit in one cell.
package assignment

import (
	"maps"
	"slices"

	"redwingsill/core/unit"
)

// Assignment is the owners of a cell's units at one version. It is immutable.
type Assignment struct {
	// Term is the term of the arbiter that wrote this version.
	Term int64
	// Version counts the writes.
	Version int64
	// WriteID tells this write from any other, so that a lost answer can be resolved.
	WriteID string
	// Slots gives the owners of slots by service and slot. A slot of another cell has no owner here.
	Slots map[string][]owner
	// HotKeys gives the owners of keys that have left their slot, by service and hash.
	HotKeys map[string]map[uint64]owner
}

// OwnerOf returns the backend server and the generation for a hash, or "" where this cell has no owner for it.
func (a Assignment) OwnerOf(service string, hash uint64) (string, int64) {
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
		return a.HotKeys[u.Service][u.Hash].Server
	}
	if slots := a.Slots[u.Service]; u.Slot < len(slots) {
		return slots[u.Slot].Server
	}
	return ""
}

// ServerOf returns the backend server that serves u, or "". A hot key without an owner of its own is served with its slot.
func (a Assignment) ServerOf(u unit.Unit) string {
	if !u.IsHotKey() {
		return a.OwnerOfUnit(u)
	}
	server, _ := a.OwnerOf(u.Service, u.Hash)
	return server
}

// UnitOf returns the unit that a hash belongs to.
func (a Assignment) UnitOf(service string, hash uint64) unit.Unit {
	u := unit.Unit{Service: service}
	if n := len(a.Slots[service]); n > 0 {
		u.Slot = int(hash % uint64(n))
	}
	if _, ok := a.HotKeys[service][hash]; ok {
		u.Hash = hash
	}
	return u
}

// WithOwner returns the assignment with server as the owner of u. An empty server takes the owner away.
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

// WithSlots returns the assignment with n slots for the service. Slots that exist keep their owners.
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

// WithWrite returns the assignment as the next version, written in a term under an id.
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
	for _, u := range a.hotUnits() {
		if a.OwnerOfUnit(u) == server {
			found = append(found, u)
		}
	}
	return found
}

// Moves returns the units whose owner differs in next, with their owners in a, except those that had none.
func (a Assignment) Moves(next Assignment) map[unit.Unit]string {
	moves := map[unit.Unit]string{}
	for service, slots := range a.Slots {
		for slot, o := range slots {
			u := unit.Unit{Service: service, Slot: slot}
			if o.Server != "" && next.OwnerOfUnit(u) != o.Server {
				moves[u] = o.Server
			}
		}
	}
	for _, u := range append(a.hotUnits(), next.hotUnits()...) {
		before, after := a.ServerOf(u), next.ServerOf(u)
		if before != "" && before != after {
			moves[u] = before
		}
	}
	return moves
}

func (a Assignment) withHotKey(u unit.Unit, server string) Assignment {
	_, generation := a.OwnerOf(u.Service, u.Hash)
	a.HotKeys = maps.Clone(a.HotKeys)
	if a.HotKeys == nil {
		a.HotKeys = map[string]map[uint64]owner{}
	}
	keys := maps.Clone(a.HotKeys[u.Service])
	if keys == nil {
		keys = map[uint64]owner{}
	}
	keys[u.Hash] = owner{Server: server, Generation: generation + 1}
	if server == "" {
		delete(keys, u.Hash)
	}
	a.HotKeys[u.Service] = keys
	return a
}

func (a Assignment) hotUnits() []unit.Unit {
	var found []unit.Unit
	for _, service := range slices.Sorted(maps.Keys(a.HotKeys)) {
		for _, hash := range slices.Sorted(maps.Keys(a.HotKeys[service])) {
			if n := len(a.Slots[service]); n > 0 {
				found = append(found, unit.Unit{Service: service, Slot: int(hash % uint64(n)), Hash: hash})
			}
		}
	}
	return found
}

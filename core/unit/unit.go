// Package unit defines the smallest part of a service that has its own owner. A key is a text that the caller sends with
// the request; its hash determines the unit.
package unit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Unit is a hash slot of a service or, if KeyHash is not 0, a hot key with an owner of its own.
type Unit struct {
	Service  string
	HashSlot int    `json:"Slot"`
	KeyHash  uint64 `json:"Hash,omitempty"`
}

// HashKey returns the hash that maps a key or a request ID to its hash slot. It is never 0.
func HashKey(key string) uint64 {
	return max(1, xxhash.Sum64String(key))
}

// IsHotKey reports whether the unit is a single key.
func (u Unit) IsHotKey() bool { return u.KeyHash != 0 }

// String returns text such as "inventario/17" or "inventario/17#9f3a".
func (u Unit) String() string {
	if u.IsHotKey() {
		return fmt.Sprintf("%s/%d#%x", u.Service, u.HashSlot, u.KeyHash)
	}
	return fmt.Sprintf("%s/%d", u.Service, u.HashSlot)
}

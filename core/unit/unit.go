// Package unit names the smallest thing that has an owner of its own.
package unit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Unit is a slot of a service or, where Hash is not 0, one hot key that has left its slot.
type Unit struct {
	Service string
	Slot    int
	Hash    uint64 `json:",omitempty"`
}

// Hash returns the hash by which a key or a request id finds its slot. It is never 0.
func Hash(key string) uint64 {
	return max(1, xxhash.Sum64String(key))
}

// IsHotKey reports whether the unit is one key.
func (u Unit) IsHotKey() bool { return u.Hash != 0 }

// String returns text such as "inventario/17" or "inventario/17#9f3a".
func (u Unit) String() string {
	if u.IsHotKey() {
		return fmt.Sprintf("%s/%d#%x", u.Service, u.Slot, u.Hash)
	}
	return fmt.Sprintf("%s/%d", u.Service, u.Slot)
}

package dedup

import "redwingsill/core/unit"

// hasher lets units be keys of an immutable map.
type hasher struct{}

// Hash implements immutable.Hasher.
func (hasher) Hash(u unit.Unit) uint32 {
	h := u.Hash ^ uint64(u.Slot)*0x9e3779b97f4a7c15
	return uint32(h ^ h>>32)
}

// Equal implements immutable.Hasher.
func (hasher) Equal(a, b unit.Unit) bool { return a == b }

package dedup

import "redwingsill/core/unit"

// hashSlotSpread multiplies the numbers of hash slots so that consecutive ones get distant hashes. It is 2^64 divided by
// the golden ratio.
const hashSlotSpread = 0x9e3779b97f4a7c15

// unitHasher hashes units for use as keys of an immutable map.
type unitHasher struct{}

// Hash implements immutable.Hasher.
func (unitHasher) Hash(u unit.Unit) uint32 {
	h := u.KeyHash ^ uint64(u.HashSlot)*hashSlotSpread
	return uint32(h ^ h>>32)
}

// Equal implements immutable.Hasher.
func (unitHasher) Equal(a, b unit.Unit) bool { return a == b }

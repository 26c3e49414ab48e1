package lease

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the servers, grants and origins of leases, in their order. It is 0 if there are none and
// never 0 otherwise.
func Digest(leases []Lease) uint64 {
	if len(leases) == 0 {
		return 0
	}
	h := xxhash.New()
	var numbers [32]byte
	for _, l := range leases {
		_, _ = h.WriteString(l.Server)
		for i, n := range []int64{l.Grant.Term, l.Grant.Generation, l.Origin.Term, l.Origin.Generation} {
			binary.LittleEndian.PutUint64(numbers[8*i:], uint64(n))
		}
		_, _ = h.Write(numbers[:])
	}
	return max(1, h.Sum64())
}

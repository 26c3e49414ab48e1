package lease

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a number that stands for the servers, grants and origins of permits, in their order. It is 0 for none.
func Digest(permits []Lease) uint64 {
	if len(permits) == 0 {
		return 0
	}
	h := xxhash.New()
	var numbers [32]byte
	for _, p := range permits {
		_, _ = h.WriteString(p.Server)
		for i, n := range []int64{p.Grant.Term, p.Grant.Generation, p.Origin.Term, p.Origin.Generation} {
			binary.LittleEndian.PutUint64(numbers[8*i:], uint64(n))
		}
		_, _ = h.Write(numbers[:])
	}
	return max(1, h.Sum64())
}

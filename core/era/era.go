// Package era orders the revisions of a store that may come back from an older copy. Each return starts the next era, in which
// revisions are given out again. A position holds a revision with its era in the upper bits, so that positions of later eras are
// higher and every comparison of revisions also holds for positions.
package era

const (
	// revisionBits is the number of bits for the revision in a position. At 10,000 writes a second they last for three years.
	revisionBits = 40
	// fenceBits is the binary logarithm of the fencing tokens between two eras: 4,096 times the block that one write reserves, far
	// more than the writes that a return can undo.
	fenceBits = 32
)

const (
	// Max is the highest valid era. The tokens of all eras then stay below 2^53, which every JSON decoder reads exactly.
	Max Era = 1 << 20
	// MaxRevision is the highest revision that a position can hold.
	MaxRevision int64 = 1<<revisionBits - 1
)

// Era counts how often a store has come back from an older copy. Era 0 is that of a store that never did, or that does not tell.
type Era int64

// Of returns the era of a position.
func Of(position int64) Era { return Era(position >> revisionBits) }

// Revision returns the store's revision in a position.
func Revision(position int64) int64 { return position & MaxRevision }

// Position returns the position of a revision in the era. In era 0 it is the revision.
func (e Era) Position(revision int64) int64 { return int64(e)<<revisionBits | revision }

// Start returns a position that is below all positions of the era and not below those of earlier ones.
func (e Era) Start() int64 { return int64(e) << revisionBits }

// RaisedFence returns the highest reserved fencing token for the first coordinator of the era that starts from a map written in an
// earlier one. It is above all tokens that were reserved between the two and lost.
func (e Era) RaisedFence(fence int64, written Era) int64 {
	return fence + int64(max(e-written, 0))<<fenceBits
}

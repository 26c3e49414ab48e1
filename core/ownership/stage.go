package ownership

// stage is the progress of a move. A move starts at releasing, or at freed if the range has no owner. It goes back to
// fencing unless lateGrant is NoLateGrant.
type stage uint8

const (
	// fencing: the old owner is granted the range under a higher token, so that grants in flight under lower ones are
	// refused.
	fencing stage = iota
	// releasing: the old owner is asked to release the range.
	releasing
	// freed: no server holds the range.
	freed
	// saving: the map with the new owner is being written to the store.
	saving
)

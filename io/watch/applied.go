package watch

// applied is the last state of an entry that the sink received. It is kept after a removal, so that an older list does
// not restore the entry.
type applied struct {
	revision  int64
	isRemoved bool
}

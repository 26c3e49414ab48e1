package watch

// entryState is the last state of an entry that the sink received. It is kept after a removal, so that an older list
// does not restore the entry.
type entryState struct {
	revision  int64
	isRemoved bool
}

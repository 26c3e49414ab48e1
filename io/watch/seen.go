package watch

// seen is what the sink was told last of an entry. It is kept after a removal, so that an older list does not bring the
// entry back.
type seen struct {
	revision  int64
	isRemoved bool
}

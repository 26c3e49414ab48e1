package watch

import (
	"redwingsill/core/era"
	"redwingsill/core/record"
)

// entryState is the last state of an entry that the sink received. It is kept after a removal, so that an older list
// does not restore the entry.
type entryState struct {
	revision  int64
	isRemoved bool
	// written is the revision of the entry, or the last one before its removal.
	written int64
}

// isRestored reports whether a listed record is the entry from before its removal, which the store has again since it came back from
// an older copy. An entry that was written since has a higher revision than the copy.
func (e entryState) isRestored(r record.Record) bool {
	return e.isRemoved && e.written > 0 && era.Of(r.Revision) > era.Of(e.written) && era.Revision(r.Revision) == era.Revision(e.written)
}
